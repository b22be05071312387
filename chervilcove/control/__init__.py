"""The control plane: one owner schedules, every entry answers callers."""
