"""Client connections: admission control, and idle connections, which take a few bytes each."""
