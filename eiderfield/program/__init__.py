"""The dispatcher as a process: its parts, and how they start, take a new configuration and end together."""
