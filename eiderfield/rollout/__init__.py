"""A rolling change of the program or its settings: its plan, and what is decided while it runs."""
