"""Classification of failed system calls on sockets: a fault of this host, or of the peer.

A call fails because this host lacks a resource (descriptors, memory, ports, a route), or because of the
peer (it refuses or resets the connection, or cannot be reached). A fault of this host says nothing about a
worker: counted against it, a single shortage here would eject every worker at once. Callers classify their
errors by this module; no other one reads the errnos of accept, connect, send or recv.

A dial that fails with `LOCAL` is retried after `RETRY_DELAY_MS` within its caller's time limit, and so is an
accept. `CONNECTION` is a fault of the connection or of its peer: the next call may be made at once.

`ROUTE` is the response of this host's routing table or packet filter to a connect, before a packet is sent
(ENETUNREACH, ENETDOWN, EACCES, EPERM). A lost default route or a link that is down causes it for every
address, so it is treated as a fault of this host and retried. It may also apply to one worker's address
alone. The evidence for that is data received from other workers meanwhile; then it counts against that
worker, whose attempts would otherwise each wait for the full time limit of a dial. EHOSTUNREACH is a fault
of the peer: its network reports that nobody responds at that address (ARP, neighbour discovery), while the
routes to other workers are not affected.

asyncio cannot distinguish a connect that fails with EAGAIN (no local port or routing entry, on some
kernels) from one in progress; it appears as a connection that is lost before anything is written.
"""

from __future__ import annotations

import errno
import socket
from enum import Enum

RETRY_DELAY_MS = 20.0  # delay until a call that failed for lack of a resource is retried


class Cause(Enum):
    """The cause of a failed call."""

    LOCAL = "this host"
    ROUTE = "this host's routes, for one address or for all"
    CONNECTION = "the connection or its peer"


# Descriptors of this process or of the host, memory, buffers, watches of poll sets, descriptors in flight
# through Unix sockets.
RESOURCE_ERRNOS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
        errno.ETOOMANYREFS,
    }
)
_ROUTE_ERRNOS = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.EACCES, errno.EPERM})
_RESOLVER_ERRORS = frozenset({socket.EAI_AGAIN, socket.EAI_MEMORY, socket.EAI_SYSTEM})
# Errors of the pending connection that accept(2) reports: it has left the queue, and the next call returns
# the next one. EPERM is a packet filter's rejection of that connection.
_PENDING_CONNECTION_ERRNOS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
        errno.ENOSR,
        errno.ESOCKTNOSUPPORT,
        errno.EPROTONOSUPPORT,
    }
)


def is_resource_shortage(error: OSError) -> bool:
    """Return whether this process or this host temporarily lacks a resource."""
    return error.errno in RESOURCE_ERRNOS


def classify_dial_error(error: Exception) -> Cause:
    """Return the cause of a failed dial."""
    number = error.errno if isinstance(error, OSError) else None
    if isinstance(error, socket.gaierror):  # its numbers are not errnos
        return Cause.LOCAL if number in _RESOLVER_ERRORS else Cause.CONNECTION
    if number in RESOURCE_ERRNOS or number == errno.EADDRNOTAVAIL:
        return Cause.LOCAL
    return Cause.ROUTE if number in _ROUTE_ERRNOS else Cause.CONNECTION


def classify_accept_error(error: OSError) -> Cause:
    """Return the cause of a failed accept.

    An error that is not known to be the connection's own is a fault of this host: the listener pauses, so
    that a call that keeps failing does not spin.
    """
    return Cause.CONNECTION if error.errno in _PENDING_CONNECTION_ERRNOS else Cause.LOCAL


def classify_loss(error: Exception | None) -> Cause:
    """Return the cause of a lost connection, given the error of its last send or recv; None for a close."""
    return Cause.LOCAL if isinstance(error, OSError) and is_resource_shortage(error) else Cause.CONNECTION
