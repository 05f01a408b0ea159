"""The laboratory: stand-ins, load and measurements, on loopback addresses alone. The dispatcher imports none
of it."""
