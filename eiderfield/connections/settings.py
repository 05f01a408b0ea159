"""Settings of client connections. Times are in ms, shares from 0 to 1; infinity sets no limit."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

IDLE_TIMEOUT_MS = 300_000.0  # for a connection that has sent a request
PARK_AFTER_MS = 5000.0  # idle time after which a connection is parked
MESSAGE_TIMEOUT_MS = 2800.0  # for a complete message: a client that stops is disconnected within 3 s


@dataclass(slots=True, frozen=True)
class IdleSettings:
    """Limits of connections that have sent a request.

    Attributes:
        idle_timeout: time after which an idle connection is closed.
        park_after: idle time after which a connection is parked; infinity for never.
        keep_copies: whether a process keeps copies of the parked connections that it hands over.
    """

    idle_timeout: float = IDLE_TIMEOUT_MS
    park_after: float = inf
    keep_copies: bool = False


@dataclass(slots=True, frozen=True)
class Quota:
    """Limits of one source: an address, or a prefix of addresses.

    Attributes:
        max_connections: connections open at one time.
        max_incomplete_messages: messages whose first byte has been received, but not the last.
        connections_per_s: rate of new connections in the long run.
        burst: new connections that may come at once; the size of the token bucket.
    """

    max_connections: float = inf
    max_incomplete_messages: float = inf
    connections_per_s: float = inf
    burst: float = 1.0


@dataclass(slots=True, frozen=True)
class MessageTimeouts:
    """Time limits of a message, from its first byte on.

    Attributes:
        message: for the complete message; an upper bound of the other limits.
        head: for its head.
        min_body_rate: bytes per second that a body must reach.
        body_grace: time after the head before that rate is required.
        overloaded_head: for the head while the listener is overloaded.
    """

    message: float = MESSAGE_TIMEOUT_MS
    head: float = MESSAGE_TIMEOUT_MS
    min_body_rate: float = 0.0
    body_grace: float = 1000.0
    overloaded_head: float = MESSAGE_TIMEOUT_MS


@dataclass(slots=True, frozen=True)
class Watermarks:
    """Shares of a resource in use: it becomes scarce at `high` and stays so until below `low`."""

    high: float
    low: float


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """Which connections are admitted, and how many of them one source may have.

    Attributes:
        address_quota: limits of each address.
        prefix_quota: limits of each prefix of addresses.
        prefix_v4: length of a prefix of IPv4 addresses, in bits.
        prefix_v6: length of a prefix of IPv6 addresses, in bits.
        descriptors: watermarks of the connections in use.
        memory: watermarks of the memory in use.
        overloaded_address_share: share of all connections that one address may have while the listener is
            overloaded.
        overloaded_idle_timeout: idle timeout of parked connections while the listener is overloaded.
        min_overload_time: shortest time for which a listener stays overloaded, so that the state does not
            oscillate.
        retry_after: delay that a 503 response advises.
        timeouts: time limits of a message.
    """

    address_quota: Quota = field(default_factory=Quota)
    prefix_quota: Quota = field(default_factory=Quota)
    prefix_v4: int = 24
    prefix_v6: int = 48
    descriptors: Watermarks = Watermarks(0.95, 0.85)
    memory: Watermarks = Watermarks(0.95, 0.85)
    overloaded_address_share: float = 1.0
    overloaded_idle_timeout: float = inf
    min_overload_time: float = 2000.0
    retry_after: float = 1000.0
    timeouts: MessageTimeouts = field(default_factory=MessageTimeouts)
