"""Times that the event loop's side of durable requests shares. All in ms."""

RECORDING_TIME_MS = 20.0  # before its deadline a request is decided, so that its answer can still be recorded
REJECTION_RETRY_AFTER_MS = 1000.0  # advice to a client whose request cannot be recorded
RETRY_INTERVAL_MS = 30.0  # from a write that the system refused to the next try
MAX_RETRY_INTERVAL_MS = 1000.0  # which that interval reaches by doubling
