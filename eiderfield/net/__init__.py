"""The platform's protocol on sockets: the client side, the worker side and the routing table's watch."""
