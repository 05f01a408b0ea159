"""The adapters that use sockets: event loop, HTTP, clients, workers, discovery, peers, console and handover.

The adapters import the exchange; the exchange does not import them.
"""
