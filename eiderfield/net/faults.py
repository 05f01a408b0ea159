"""Which side a failed system call speaks of: this host, or the other end of a connection.

A call on a socket can fail because this host lacks something (descriptors, memory, ports, a route), or
because of the other end (it refuses, has reset, cannot be reached). The first says nothing about a worker:
counted against it, one shortage here would eject every worker at once. So whoever makes such a call asks here
what its error means, and no other module reads the errnos of accept, connect, send or recv.

A dial that fails with `LOCAL` is tried again after `RETRY_MS` within its caller's time limit, and so is an
accept. `CONNECTION` is the fault of the connection in hand, or of its other end: the next call may be made at
once.

`ROUTE` is what this host's own routing table or packet filter answers to a connect, before a packet leaves
(ENETUNREACH, ENETDOWN, EACCES, EPERM). A lost default route or a link that is down gives it for every
address, so it is treated as this host's fault and tried again. It may also hold for one worker's address
alone; the evidence for that is that other workers are heard meanwhile, and then it counts against that
worker, which would otherwise cost each of its attempts the whole time limit of a dial. EHOSTUNREACH is the
other end's: it comes when nobody answers for that address in its own network (ARP, neighbour discovery) or a
router near it says so, and the routes to other workers are as good as they were.

A connect that fails with EAGAIN (no local port or routing entry, on some kernels) cannot be told from one in
progress by asyncio; it shows as a connection that breaks before anything is written.
"""

from __future__ import annotations

import errno
import socket
from enum import Enum

RETRY_MS = 20.0  # until a call is made again that failed for a shortage of this host


class Cause(Enum):
    """What a failed call speaks of."""

    LOCAL = "this host"
    ROUTE = "this host's routes, for one address or for all"
    CONNECTION = "the connection or its other end"


# Descriptors of this process or of the host, memory, buffers, watches of poll sets, descriptors on their way
# through Unix sockets.
RESOURCES = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
        errno.ETOOMANYREFS,
    }
)
_ROUTES = frozenset({errno.ENETUNREACH, errno.ENETDOWN, errno.EACCES, errno.EPERM})
_RESOLVER = frozenset({socket.EAI_AGAIN, socket.EAI_MEMORY, socket.EAI_SYSTEM})
# What accept(2) passes on from the connection that it would have given: it is off the queue, and the next
# call gives the next one. EPERM is a packet filter's word on that connection.
_PENDING = frozenset(
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


def is_shortage(error: OSError) -> bool:
    """Whether this process or this host has no more of something, which may pass."""
    return error.errno in RESOURCES


def cause_of_dial(error: Exception) -> Cause:
    """The cause of a connection that did not come up."""
    number = error.errno if isinstance(error, OSError) else None
    if isinstance(error, socket.gaierror):  # its numbers are not errnos
        return Cause.LOCAL if number in _RESOLVER else Cause.CONNECTION
    if number in RESOURCES or number == errno.EADDRNOTAVAIL:
        return Cause.LOCAL
    return Cause.ROUTE if number in _ROUTES else Cause.CONNECTION


def cause_of_accept(error: OSError) -> Cause:
    """The cause of a failed accept. What is not known to be a connection's own is this host's: the listener
    pauses, so that a call which goes on failing does not spin."""
    return Cause.CONNECTION if error.errno in _PENDING else Cause.LOCAL


def cause_of_loss(error: Exception | None) -> Cause:
    """The cause of a connection's end, which the error of its last send or recv tells; None is a close."""
    return Cause.LOCAL if isinstance(error, OSError) and is_shortage(error) else Cause.CONNECTION
