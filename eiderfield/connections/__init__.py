"""Client connections without I/O: admission control, and the idle connections at little cost."""
