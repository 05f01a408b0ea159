"""The client side: listeners, the connections of clients, and the front that takes their requests.

| module | what it holds |
| --- | --- |
| `front` | the interface between a listener and the protocol that it serves |
| `request_headers` | the headers of a request in the platform's protocol |
| `request_front` | the front of the platform's protocol |
| `detached` | connections that are detached between two requests, with their state |
| `arrivals` | the times at which bytes arrived |
| `message_reader` | assembles messages from the bytes of a connection |
| `connection_timer` | the time limits of a connection |
| `connection_admission` | the admission ticket of a connection |
| `flow_control` | pauses and resumes reading; detects a client that disconnects while it is paused |
| `connection_table` | open connections, and the order in which they may be evicted |
| `connection` | one client's connection, and its states |
| `parking` | the parked connections of a listener, and their handover to the next process |
| `cut_off_log` | the log of connections that are cut off |
| `turn_figures` | the largest amounts of work in a turn |
| `memory_relief` | gives back bytes of connections while memory is scarce |
| `deferred_reads` | continues messages that take many turns of the loop |
| `acceptor` | a listening socket and the loop that accepts from it |
| `listener` | the connections of a listening socket, their capacity and admission |

Each module imports only modules above it in this table.
"""

from eiderfield.net.clients.connection import ClientConnection, Phase
from eiderfield.net.clients.detached import ConnectionHandover, Detach, DetachedConnection
from eiderfield.net.clients.front import ClientDisconnectCallback, Front, ListenerStatus, Responder
from eiderfield.net.clients.listener import Listener
from eiderfield.net.clients.memory_relief import MemoryRelief
from eiderfield.net.clients.request_front import DurableIntake, RequestFront

__all__ = [
    "ClientConnection",
    "ClientDisconnectCallback",
    "ConnectionHandover",
    "Detach",
    "DetachedConnection",
    "DurableIntake",
    "Front",
    "Listener",
    "ListenerStatus",
    "MemoryRelief",
    "Phase",
    "RequestFront",
    "Responder",
]
