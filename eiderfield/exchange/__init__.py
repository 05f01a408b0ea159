"""The core of a dispatcher: requests and their attempts, between the client side and the worker side.

The class `Exchange` in `exchange` connects the other modules. `request` and `timers` define the types that
both sides share, and `protocols` the interfaces that the adapters implement. The package performs no I/O
and reads no clock.
"""
