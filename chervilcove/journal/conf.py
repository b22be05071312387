"""Limits and intervals of the journal."""

# Appends.
APPEND_TIMEOUT_S = 10.0
# Time in which an append call may still return after its record was applied.
APPEND_GRACE_S = 0.05
# Minimum time that an answered append has to be applied before it is retried.
APPLY_WAIT_S = 2.0
FIRST_BACK_OFF_S = 0.1
MAX_BACK_OFF_S = 5.0
# Limit of the log service on all appends; entries divide it equally.
LOG_APPENDS_PER_S = 300.0
# Maximum items in one record with several proposals.
GROUP_ITEMS = 200
# Maximum size of one encoded record.
RECORD_BYTES = 1024 * 1024
# Maximum queued proposals of one entry.
PROPOSALS_LIMIT = 5_000

# Reads.
# Long poll of a replica that has reached the head of the stream.
FOLLOW_WAIT_S = 2.0
READ_TIMEOUT_S = 2.0
READ_RECORDS = 500
# Time after which applying records yields to other greenlets.
APPLY_SLICE_S = 0.02

# Snapshots.
# Size of one chunk before compression.
CHUNK_BYTES = 256 * 1024
CHUNK_INTERVAL_S = 0.1
CHUNKS_PER_READ = 16
# A new snapshot is due after any of these three.
RECORDS_BETWEEN_SNAPSHOTS = 20_000
BYTES_BETWEEN_SNAPSHOTS = 64 * 1024 * 1024
SECONDS_BETWEEN_SNAPSHOTS = 1_800.0
# Time after which the entry next in rank takes over an overdue snapshot or an
# overdue change of the format level.
SNAPSHOT_TAKEOVER_DELAY_S = 60.0
# A mark without a whole snapshot is replaced by a new one after this time.
MARK_LIFETIME_S = 300.0
RESTORE_RETRY_S = 1.0
# Maximum digests counted for one mark.
VOTES_LIMIT = 64
# Maximum delay before a replica whose state diverged restores a snapshot.
LONGEST_RESTART_DELAY_S = 60.0
KEEPER_INTERVAL_S = 0.5
PROPOSE_TIMEOUT_S = 10.0
