"""The core: requests and their attempts, between the client side and the worker side.

`exchange` holds the class `Exchange`, which joins the other modules; `request` and `timers` define the types
that both sides share, `protocols` the interfaces that the adapters implement. There is no I/O and no clock.
"""
