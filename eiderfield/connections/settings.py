"""What an operator sets about client connections. Times are in ms, shares from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

KEEP = 300_000.0  # for which a connection may idle that has brought a request
PARK_AFTER = 5000.0  # of silence after which it is parked
WHOLE = 2800.0  # that a client's message may take to come in: what never comes is owed an end within 3 s


@dataclass(slots=True, frozen=True)
class Idling:
    """For connections that have brought a request: how long they may idle, when they park."""

    keep: float = KEEP
    park_after: float = inf  # never
    copies: bool = False  # whether a process keeps copies of what it gives to the next, until it ends


@dataclass(slots=True, frozen=True)
class Quota:
    """What one address, or one prefix of addresses, may have. Infinity sets no limit."""

    held: float = inf  # connections
    begun: float = inf  # messages that have begun and are not whole
    rate: float = inf  # new connections a second, in the long run
    burst: float = 1.0  # new connections at once

    @property
    def limits(self) -> bool:
        """Whether it limits anything."""
        return min(self.held, self.begun, self.rate) < inf


@dataclass(slots=True, frozen=True)
class Pace:
    """How a message that has begun must come in."""

    whole: float = WHOLE  # until it must be whole, whatever else is allowed
    head: float = WHOLE  # until its head must be whole
    body_rate: float = 0.0  # least bytes a second of a body
    body_grace: float = 1000.0  # before that rate is asked for
    head_crowded: float = WHOLE  # the time for a head while the listener is overloaded


@dataclass(slots=True, frozen=True)
class Marks:
    """Watermarks: the share of a resource from which it is short, and below which it is short no more."""

    high: float
    low: float


@dataclass(slots=True, frozen=True)
class Admission:
    """Who is admitted, and how many of the connections one source may have."""

    address: Quota = field(default_factory=Quota)
    prefix: Quota = field(default_factory=Quota)
    prefix_v4: int = 24  # bits
    prefix_v6: int = 48
    descriptors: Marks = Marks(0.95, 0.85)
    memory: Marks = Marks(0.95, 0.85)
    crowded_share: float = 1.0  # of the capacity that one address may have while the listener is overloaded
    keep_crowded: float = inf  # for which a parked connection may idle meanwhile
    hold: float = 2000.0  # for which a listener stays overloaded at least: it must not flap
    retry_after: float = 1000.0  # that a rejection advises
    pace: Pace = field(default_factory=Pace)
