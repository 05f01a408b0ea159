"""Stand-ins, load, fault injection and measurements, on loopback addresses alone.

The dispatcher imports none of it.
"""
