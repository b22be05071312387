"""Intervals and bounds of membership."""

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 2.0
STEP_S = 0.2
HEARTBEAT_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
# Three periods with one fresh connection each, before a peer is suspected.
SUSPECT_S = 3.0
GRACE_S = 5.0
# An idle log answers a waiting read within two seconds.
LOG_SILENCE_S = 3.0
FORGET_S = 600.0
PEERS_LIMIT = 64
PAST_INCARNATIONS = 8
RANKS_LIMIT = 20_000
IDLE_CONNECTION_S = 10.0
