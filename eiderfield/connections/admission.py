"""Admission control at a client listener: who may connect, how a message must come in, who is evicted first.

No I/O and no clock.

Each connection has a ticket, which names its address's entry. Entries count, for an address and for its
prefix: connections, messages begun and not complete, and a token bucket for new connections.

    admit ──> ticket ──> begin_message <──> end_message ──> release
      └────> rejection, with its reason and with what to answer

The listener is normal or overloaded, by the shares of descriptors and of memory in use, with two watermarks
each: overloaded from the high one, normal below the low one, and overloaded for a while at least. An
overloaded listener asks for heads sooner, lets idle connections stay for less time and limits one address
to a share. At full capacity a new connection, which may bring a request, takes the place of one that may be
evicted. When memory is short the capacity is what is held then: memory that was once taken does not come
back for certain, so to reject everybody until it does would be to reject them for ever.

What must never happen: counts that drift (each ticket is released once, and its message has ended before);
a count below zero; an entry that is forgotten while it holds something or while its bucket is not full, for
a source could come back with a new one; a time limit that dripped bytes extend: a message's time counts
from its first byte, and what its bytes buy is never more than the time for the whole message.
"""

from __future__ import annotations

import socket
from array import array
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from math import inf

from eiderfield.connections.settings import Admission, Marks, Quota

LEAST_CAPACITY = 16  # connections that a listener holds however short memory is
FORGET_THRESHOLD = 1024  # entries that hold nothing, from which on those are looked for that may be forgotten
_V4_MAPPED = bytes(10) + b"\xff\xff"


class Reason(Enum):
    """Why a connection is rejected, or a message is ended. The values are the names of the metrics."""

    ADDRESS_HELD = "address_held"
    ADDRESS_RATE = "address_rate"
    ADDRESS_BEGUN = "address_begun"
    PREFIX_HELD = "prefix_held"
    PREFIX_RATE = "prefix_rate"
    PREFIX_BEGUN = "prefix_begun"
    CROWDED_SHARE = "crowded_share"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"


class ConnectionKind(Enum):
    """What a connection that may be evicted for a new one is."""

    UNPROVEN = "unproven"  # it has sent no request yet, or has had its last answer
    PARKED = "parked"
    IDLE = "idle"  # it was answered not long ago


# The least proven first, then the longest idle.
EVICTION_ORDER = (ConnectionKind.UNPROVEN, ConnectionKind.PARKED, ConnectionKind.IDLE)


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why a connection is not admitted. `answer`: whether it gets a 503 with advice, or is just closed."""

    reason: Reason
    answer: bool
    retry_after: float  # ms


@dataclass(slots=True, frozen=True)
class Limit:
    """Until when something may stay as it is, and why it ends then."""

    at: float  # ms
    reason: Reason | None = None


def key_of(address: str, prefix_v4: int, prefix_v6: int) -> tuple[int, int]:
    """An address and its prefix as numbers. IPv6 addresses count by their /64: that much one host may have.

    Raises `ValueError` for what is no address.
    """
    try:
        if ":" in address:
            raw = socket.inet_pton(socket.AF_INET6, address.partition("%")[0])
            if raw.startswith(_V4_MAPPED):
                return _v4(raw[12:], prefix_v4)
            number = int.from_bytes(raw)
            # What tells the families and the two tables' keys apart is their length in bits.
            return (1 << 64) | number >> 64, (1 << prefix_v6) | number >> (128 - prefix_v6)
        return _v4(socket.inet_pton(socket.AF_INET, address), prefix_v4)
    except OSError:
        raise ValueError(f"not an address: {address!r}") from None


def _v4(raw: bytes, bits: int) -> tuple[int, int]:
    number = int.from_bytes(raw)
    return number, -1 - (number >> (32 - bits))


class _SourceTable:
    """What the sources of one kind have, in arrays by entry."""

    def __init__(self) -> None:
        self._entries: dict[int, int] = {}
        self.keys: dict[int, int] = {}
        self.held = array("I")
        self.begun = array("I")
        self.tokens = array("f")  # spent, and not yet grown back
        self.at = array("d")  # when that was so
        self._free: list[int] = []
        self.empty = 0  # entries that hold nothing

    def __len__(self) -> int:
        return len(self._entries)

    def entry(self, key: int, now: float) -> int:
        """The entry of a source, made anew if there is none."""
        found = self._entries.get(key)
        if found is not None:
            return found
        if self._free:
            found = self._free.pop()
            self.tokens[found], self.at[found] = 0.0, now
        else:
            found = len(self.held)
            for column in (self.held, self.begun):
                column.append(0)
            self.tokens.append(0.0)
            self.at.append(now)
        self._entries[key] = found
        self.keys[found] = key
        self.empty += 1
        return found

    def spent(self, entry: int, quota: Quota, now: float) -> float:
        """How many tokens are missing in a source's bucket."""
        if quota.rate == inf:
            return 0.0
        return max(0.0, self.tokens[entry] - max(0.0, now - self.at[entry]) * quota.rate / 1000.0)

    def spend(self, entry: int, quota: Quota, now: float) -> None:
        """A token is taken out."""
        if quota.rate < inf:
            self.tokens[entry] = self.spent(entry, quota, now) + 1.0
            self.at[entry] = now

    def hold(self, entry: int) -> None:
        """One connection more."""
        self.empty -= not self.held[entry]
        self.held[entry] += 1

    def release(self, entry: int) -> None:
        """One connection less."""
        self.held[entry] -= 1
        self.empty += not self.held[entry]

    def forget(self, quota: Quota, now: float) -> None:
        """Drops the entries that hold nothing and owe nothing."""
        gone = [
            key
            for key, entry in self._entries.items()
            if not self.held[entry] and not self.spent(entry, quota, now)
        ]
        for key in gone:
            entry = self._entries.pop(key)
            del self.keys[entry]
            self._free.append(entry)
        self.empty -= len(gone)


_Source = tuple[_SourceTable, Quota, int]  # with its quota and its entry


class _PressureGauge:
    """Whether a resource is short: two watermarks, and a least time for which it counts as short."""

    def __init__(self) -> None:
        self.overloaded = False
        self._since = -inf

    def update(self, share: float, marks: Marks, hold: float, now: float) -> None:
        """Takes in the share that is in use now."""
        if share >= marks.high:
            self.overloaded, self._since = True, now
        elif share < marks.low and now >= self._since + hold:
            self.overloaded = False


class AdmissionControl:
    """Counts the connections of a listener by source and says which are admitted."""

    def __init__(self, admission: Admission | None = None, most: int = 1024) -> None:
        """At most `most` connections, within the limits of the settings."""
        self.admission = admission or Admission()
        self.counts: Counter[str] = Counter()  # rejections and slow messages by reason
        self._most = most
        self._cap = inf  # connections that were held when memory ran short
        self._addresses = _SourceTable()
        self._prefixes = _SourceTable()
        self._prefix_of = array("I")  # by an address's entry
        self._descriptors = _PressureGauge()
        self._memory = _PressureGauge()

    @property
    def overloaded(self) -> bool:
        """Whether descriptors or memory are short."""
        return self._descriptors.overloaded or self._memory.overloaded

    @property
    def capacity(self) -> int:
        """How many connections may be open now."""
        return int(min(self._most, self._cap))

    def update_usage(self, now: float, held: int, memory: float) -> None:
        """Takes in how many connections the listener holds, and the share of memory in use."""
        a = self.admission
        self._descriptors.update(held / max(1, self._most), a.descriptors, a.hold, now)
        self._memory.update(memory, a.memory, a.hold, now)
        if not self._memory.overloaded:
            self._cap = inf
        elif self._cap == inf:  # set once: a connection that closes later must not lower it
            self._cap = max(held, LEAST_CAPACITY)

    def admit(self, address: str, now: float) -> int | Rejection:
        """Admits a new connection: its ticket, or why it is rejected."""
        ticket = self._entry(address, now)
        rejection = self._rejection(ticket, now)
        if rejection is not None:
            self.counts[rejection.reason.value] += 1
            return rejection
        for table, quota, entry in self._sources(ticket):
            table.spend(entry, quota, now)
            table.hold(entry)
        return ticket

    def register(self, address: str, now: float) -> int:
        """Counts a connection that is open already, as after a handover: its ticket, whatever the limits."""
        ticket = self._entry(address, now)
        for table, _, entry in self._sources(ticket):
            table.hold(entry)
        return ticket

    def release(self, ticket: int) -> None:
        """Gives a closed connection's ticket back."""
        for table, _, entry in self._sources(ticket):
            table.release(entry)

    def begin_message(self, ticket: int) -> Rejection | None:
        """Counts a message whose first byte has come; a rejection if its source has too many of these."""
        reasons = (Reason.ADDRESS_BEGUN, Reason.PREFIX_BEGUN)
        for (table, quota, entry), reason in zip(self._sources(ticket), reasons, strict=True):
            if table.begun[entry] >= quota.begun:
                self.counts[reason.value] += 1
                return self._rejection_for(reason)
        for table, _, entry in self._sources(ticket):
            table.begun[entry] += 1
        return None

    def end_message(self, ticket: int) -> None:
        """Counts a message off that is complete, or given up."""
        for table, _, entry in self._sources(ticket):
            table.begun[entry] -= 1

    def head_limit(self, begun: float) -> Limit:
        """Until when the head must be whole of a message that began then."""
        pace = self.admission.pace
        allowed = pace.head_crowded if self.overloaded else pace.head
        return Limit(begun + min(pace.whole, pace.head, allowed), Reason.SLOW_HEAD)

    def body_limit(self, begun: float, head_at: float, taken: int) -> Limit:
        """Until when a body must have more than `taken` bytes, its head having been whole at `head_at`."""
        pace = self.admission.pace
        end = begun + pace.whole
        if pace.body_rate > 0.0:
            end = min(end, head_at + pace.body_grace + 1000.0 * taken / pace.body_rate)
        return Limit(end, Reason.SLOW_BODY)

    def count_slow_message(self, limit: Limit) -> None:
        """Counts a message that was ended for its slowness."""
        if limit.reason is not None:
            self.counts[limit.reason.value] += 1

    def idle_limit(self, keep: float) -> float:
        """How long a connection may idle now, `keep` being what is set."""
        return min(keep, self.admission.keep_crowded) if self.overloaded else keep

    def figures(self) -> dict[str, int]:
        """What the console says: sources known, whether the listener is overloaded, rejections by reason."""
        by_reason = {reason.value: self.counts[reason.value] for reason in Reason}
        return {
            "addresses": len(self._addresses),
            "crowded": int(self.overloaded),
            "house": self.capacity,
            **by_reason,
        }

    def reconfigure(self, admission: Admission) -> None:
        """Takes new settings. They count for open connections too; none is closed for them."""
        if (admission.prefix_v4, admission.prefix_v6) != (self.admission.prefix_v4, self.admission.prefix_v6):
            self._count_prefixes_anew(admission)
        self.admission = admission

    def _sources(self, ticket: int) -> tuple[_Source, _Source]:
        """The address and the prefix of a ticket."""
        prefix = self._prefix_of[ticket]
        return (
            (self._addresses, self.admission.address, ticket),
            (self._prefixes, self.admission.prefix, prefix),
        )

    def _entry(self, address: str, now: float) -> int:
        a = self.admission
        key, prefix = key_of(address, a.prefix_v4, a.prefix_v6)
        for table, quota in ((self._addresses, a.address), (self._prefixes, a.prefix)):
            if table.empty > FORGET_THRESHOLD + len(table) // 2:
                table.forget(quota, now)
        ticket = self._addresses.entry(key, now)
        while len(self._prefix_of) <= ticket:
            self._prefix_of.append(0)
        self._prefix_of[ticket] = self._prefixes.entry(prefix, now)
        return ticket

    def _rejection(self, ticket: int, now: float) -> Rejection | None:
        a = self.admission
        reasons = ((Reason.ADDRESS_HELD, Reason.ADDRESS_RATE), (Reason.PREFIX_HELD, Reason.PREFIX_RATE))
        for (table, quota, entry), (held, rate) in zip(self._sources(ticket), reasons, strict=True):
            if table.held[entry] >= quota.held:
                return self._rejection_for(held)
            missing = table.spent(entry, quota, now) + 1.0 - quota.burst
            if quota.rate < inf and missing > 0.0:
                # A source above its rate is closed: an answer to each would be at the others' cost.
                return Rejection(rate, False, 1000.0 * missing / quota.rate)
        if self.overloaded and self._addresses.held[ticket] >= a.crowded_share * self._most:
            return self._rejection_for(Reason.CROWDED_SHARE)
        return None

    def _rejection_for(self, reason: Reason) -> Rejection:
        return Rejection(reason, True, self.admission.retry_after)

    def _count_prefixes_anew(self, admission: Admission) -> None:
        """Counts prefixes of another length."""
        prefixes = _SourceTable()
        for ticket, key in self._addresses.keys.items():
            prefix = prefixes.entry(_prefix(key, admission), self._addresses.at[ticket])
            for _ in range(self._addresses.held[ticket]):
                prefixes.hold(prefix)
            prefixes.begun[prefix] += self._addresses.begun[ticket]
            self._prefix_of[ticket] = prefix
        self._prefixes = prefixes


def _prefix(key: int, admission: Admission) -> int:
    if key >> 64:
        bits = admission.prefix_v6
        return (1 << bits) | (key & ((1 << 64) - 1)) >> (64 - bits)
    return -1 - (key >> (32 - admission.prefix_v4))
