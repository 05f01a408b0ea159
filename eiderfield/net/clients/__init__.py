"""The client side: listeners, the connections of clients, and the front that takes their requests.

| module | what it holds |
| --- | --- |
| `connection` | one client's connection, and its states |
| `listener` | a listening socket, its capacity and its evictions |
| `parking` | the idle connections of a listener, also on their way to the next process |
| `front` | what a listener passes whole messages to |
| `request_front` | the front of the platform's protocol |
"""

from eiderfield.net.clients.connection import ClientConnection, ConnectionHandover, Detach, Phase
from eiderfield.net.clients.front import Front
from eiderfield.net.clients.listener import Listener
from eiderfield.net.clients.request_front import DurableIntake, RequestFront

__all__ = [
    "ClientConnection",
    "ConnectionHandover",
    "Detach",
    "DurableIntake",
    "Front",
    "Listener",
    "Phase",
    "RequestFront",
]
