"""Replay of recorded days against the owner's decision rounds."""
