"""Intervals and limits of membership."""

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 2.0
REFRESH_INTERVAL_S = 0.2
HEARTBEAT_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
# Three heartbeat intervals; a new connection is tried in each.
SUSPECT_AFTER_S = 3.0
NEW_ENTRY_GRACE_S = 5.0
# An idle log answers a waiting read within 2 s.
MAX_LOG_SILENCE_S = 3.0
FORGET_AFTER_S = 600.0
MAX_PEERS = 64
PEER_SHARE = 1 / 8  # share of the descriptors for connections of peers
MAX_PAST_INCARNATIONS = 8
MAX_CACHED_RANKS = 20_000
IDLE_CONNECTION_TIMEOUT_S = 10.0
# A heartbeat has about 200 bytes; the names in it are the operator's.
MAX_HEARTBEAT_BYTES = 65_536
