"""Classifies failed system calls on sockets as faults of this host or of the peer.

A call fails either because this host lacks a resource (descriptors, memory, ports, a route) or because of
the peer (it refuses or resets the connection, or cannot be reached). A fault of this host says nothing about
the worker at the other end. If such faults counted against workers, a single shortage on this host would
eject every worker at once. Callers classify their errors by this module; no other module reads the errnos
of accept, connect, send or recv.

`LOCAL`: this host lacks a resource. A dial is retried after `RETRY_DELAY_MS` until its caller's time limit;
an accept is retried after the same delay.

`CONNECTION`: a fault of the connection or of its peer. The next call may be made at once. EHOSTUNREACH
belongs here: the peer's network reports that no host responds at that address (ARP, neighbour discovery),
while the routes to other workers are not affected.

`ROUTE`: this host's routing table or packet filter rejects a connect before any packet is sent (ENETUNREACH,
ENETDOWN, EACCES, EPERM). If the default route is lost or a link is down, this happens for every address, so
it is treated as a fault of this host and retried. It may also concern the address of a single worker. If
data was received from other workers meanwhile, the failure therefore counts against the worker; otherwise
each of its attempts would wait for the full time limit of a dial.

A connect may fail with EAGAIN if there is no local port or routing entry, on some kernels. asyncio cannot
distinguish this from a connect in progress. It appears as a connection that is lost before any byte is
written.
"""

from __future__ import annotations

import errno
import socket
from enum import Enum

RETRY_DELAY_MS = 20.0  # before a call that failed for lack of a resource is retried


class Cause(Enum):
    """The cause of a failed call."""

    LOCAL = "this host"
    ROUTE = "this host's routes, for one address or for all"
    CONNECTION = "the connection or its peer"


# Shortages of descriptors in this process or on the host, of memory, of buffers, of epoll watches, and of
# room for descriptors in flight through Unix sockets.
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
# Errors of one pending connection that accept(2) reports. The connection has left the queue, and the next
# call returns the next connection. EPERM means that a packet filter rejected the connection.
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
    """Return whether a call failed because this process or this host temporarily lacks a resource."""
    return error.errno in RESOURCE_ERRNOS


def classify_dial_error(error: Exception) -> Cause:
    """Return the cause of a failed dial."""
    number = error.errno if isinstance(error, OSError) else None
    if isinstance(error, socket.gaierror):  # its error numbers are EAI_* values, not errnos
        return Cause.LOCAL if number in _RESOLVER_ERRORS else Cause.CONNECTION
    if number in RESOURCE_ERRNOS or number == errno.EADDRNOTAVAIL:
        return Cause.LOCAL
    return Cause.ROUTE if number in _ROUTE_ERRNOS else Cause.CONNECTION


def classify_accept_error(error: OSError) -> Cause:
    """Return the cause of a failed accept.

    An error that is not known to concern only the pending connection is classified as a fault of this host.
    The listener then pauses, so that a call that fails every time does not run in a busy loop.
    """
    return Cause.CONNECTION if error.errno in _PENDING_CONNECTION_ERRNOS else Cause.LOCAL


def classify_loss(error: Exception | None) -> Cause:
    """Return the cause of a lost connection.

    `error` is the error of its last send or recv, or None if the peer closed the connection.
    """
    return Cause.LOCAL if isinstance(error, OSError) and is_resource_shortage(error) else Cause.CONNECTION
