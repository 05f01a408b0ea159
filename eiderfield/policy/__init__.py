"""The policy of a dispatcher: which request is sent to which worker, and when.

`dispatcher` is the entry point; each other module has one task, described in its docstring. No module does
I/O or reads a clock. All times are in milliseconds of the caller's clock.
"""
