"""The cost of a fleet's size to one dispatcher: the same day beside few workers and beside many."""
