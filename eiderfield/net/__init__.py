"""The adapters on sockets: the event loop, HTTP, clients, workers, discovery, peers, console and handover.

They know the exchange, and it knows none of them.
"""
