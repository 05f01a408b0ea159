"""The core: requests and their attempts, between the client side and the worker side.

`request` and `timers` define the types that both sides share, `protocols` what the exchange requires of the
parts that it calls, and `exchange` the exchange itself. No module does I/O or reads a clock.
"""
