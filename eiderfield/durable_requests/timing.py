"""Times that several parts of the coordinator use. All are in ms."""

RECORDING_TIME_MS = 20.0  # reserved before the deadline of a request to record its answer
REJECTION_RETRY_AFTER_MS = 1000.0  # Retry-After for a client whose request cannot be recorded
RETRY_INTERVAL_MS = 30.0  # first interval between tries of a write that the system refuses
MAX_RETRY_INTERVAL_MS = 1000.0  # largest interval between such tries; it doubles with each try
