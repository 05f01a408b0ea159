"""The governor at the listener: who may come in, how a message must come in, and who gives way.

No I/O, no clock.

Theory of operation. Each connection has a ticket, which names its address's entry. Entries count, for an
address and for its prefix: connections held, messages begun and not whole, and a bucket of tokens for new
connections.

    comes ──> ticket ──> begins <──> ends ──> goes
      └────> refusal, with its reason and with what to answer

Beside that the house has a state, calm or crowded, told from shares of descriptors and of memory with two
marks each: it becomes crowded at the high one and calm below the low one, and it stays crowded for a while
at least. A crowded house asks for heads sooner, lets parked connections idle for less time and gives one
address a share and no more. In a full house a newcomer, who may be the one with a job, takes the place of
one that may give way. When memory is short the house is as large as what it holds then: memory that was
once taken does not come back for certain, so to refuse everybody until it does would be to refuse them for
ever.

What must never happen: counts that drift (each ticket goes once, what has begun ends before that); a count
below zero; an entry that is forgotten while it holds something or while its bucket is not full, for a
source could come back with a new one; a limit that a drip extends: a message's time is counted from its
first byte, and what its bytes buy is never more than the time for the whole.
"""

from __future__ import annotations

import socket
from array import array
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from math import inf

from eiderfield.crowd.settings import Admission, Marks, Quota

LEAST = 16  # connections that a house holds however short memory is
FORGET_AT = 1024  # entries that hold nothing, from which on those are looked for that may be forgotten
_V4_MAPPED = bytes(10) + b"\xff\xff"


class Reason(Enum):
    """Why somebody is refused, or a message is ended. The names are those of the metrics."""

    ADDRESS_HELD = "address_held"
    ADDRESS_RATE = "address_rate"
    ADDRESS_BEGUN = "address_begun"
    PREFIX_HELD = "prefix_held"
    PREFIX_RATE = "prefix_rate"
    PREFIX_BEGUN = "prefix_begun"
    CROWDED_SHARE = "crowded_share"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"


class Kind(Enum):
    """What a connection that might give way to a newcomer is."""

    UNPROVEN = "unproven"  # it has brought no job yet, or has had its last answer
    PARKED = "parked"
    IDLE = "idle"  # it was answered not long ago


ORDER = (Kind.UNPROVEN, Kind.PARKED, Kind.IDLE)  # who has shown least goes first, then who was quiet longest


@dataclass(slots=True, frozen=True)
class Refusal:
    """Who is not let in. `answer`: whether it gets a 503 with advice, else it is closed without a word."""

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


class _Table:
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


class _Level:
    """Whether something is short: two marks, and a time for which it stays so."""

    def __init__(self) -> None:
        self.crowded = False
        self._since = -inf

    def tell(self, share: float, marks: Marks, hold: float, now: float) -> None:
        """How much of it is taken now."""
        if share >= marks.high:
            self.crowded, self._since = True, now
        elif share < marks.low and now >= self._since + hold:
            self.crowded = False


class Governor:
    """Told of each connection at a listener, it says who may be there."""

    def __init__(self, admission: Admission | None = None, most: int = 1024) -> None:
        self.admission = admission or Admission()
        self.counts: Counter[str] = Counter()  # refusals and ends by reason
        self._most = most
        self._cap = inf  # connections that were held when memory ran short
        self._addresses = _Table()
        self._prefixes = _Table()
        self._prefix_of = array("I")  # by an address's entry
        self._descriptors = _Level()
        self._memory = _Level()

    @property
    def crowded(self) -> bool:
        """Whether the house is crowded."""
        return self._descriptors.crowded or self._memory.crowded

    @property
    def house(self) -> int:
        """How many connections may be held now."""
        return int(min(self._most, self._cap))

    def tell(self, now: float, held: int, memory: float) -> None:
        """How many connections the listener holds, and the share of the memory that is taken."""
        a = self.admission
        self._descriptors.tell(held / max(1, self._most), a.descriptors, a.hold, now)
        self._memory.tell(memory, a.memory, a.hold, now)
        if not self._memory.crowded:
            self._cap = inf
        elif self._cap == inf:  # set once: who leaves later must not make the house smaller
            self._cap = max(held, LEAST)

    def comes(self, address: str, now: float) -> int | Refusal:
        """Somebody connects: their ticket, or why they may not."""
        ticket = self._entry(address, now)
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            self.counts[refusal.reason.value] += 1
            return refusal
        for table, quota, entry in self._both(ticket):
            table.spend(entry, quota, now)
            table.hold(entry)
        return ticket

    def joins(self, address: str, now: float) -> int:
        """Somebody is there already, as after a handover: their ticket, whatever the limits say."""
        ticket = self._entry(address, now)
        for table, _, entry in self._both(ticket):
            table.hold(entry)
        return ticket

    def goes(self, ticket: int) -> None:
        """A connection is over."""
        for table, _, entry in self._both(ticket):
            table.release(entry)

    def begins(self, ticket: int) -> Refusal | None:
        """The first byte of a message has come; a refusal if the source has too many half-written ones."""
        reasons = (Reason.ADDRESS_BEGUN, Reason.PREFIX_BEGUN)
        for (table, quota, entry), reason in zip(self._both(ticket), reasons, strict=True):
            if table.begun[entry] >= quota.begun:
                self.counts[reason.value] += 1
                return self._refuse(reason)
        for table, _, entry in self._both(ticket):
            table.begun[entry] += 1
        return None

    def ends(self, ticket: int) -> None:
        """A message that had begun is whole, or over."""
        for table, _, entry in self._both(ticket):
            table.begun[entry] -= 1

    def head_until(self, begun: float) -> Limit:
        """Until when the head must be whole of a message that began then."""
        pace = self.admission.pace
        allowed = pace.head_crowded if self.crowded else pace.head
        return Limit(begun + min(pace.whole, pace.head, allowed), Reason.SLOW_HEAD)

    def body_until(self, begun: float, head_at: float, taken: int) -> Limit:
        """Until when a body must have more than `taken` bytes, its head having been whole at `head_at`."""
        pace = self.admission.pace
        end = begun + pace.whole
        if pace.body_rate > 0.0:
            end = min(end, head_at + pace.body_grace + 1000.0 * taken / pace.body_rate)
        return Limit(end, Reason.SLOW_BODY)

    def late(self, limit: Limit) -> None:
        """A message was ended for its slowness."""
        if limit.reason is not None:
            self.counts[limit.reason.value] += 1

    def keep(self, keep: float) -> float:
        """How long a parked connection may idle now, `keep` being what is set."""
        return min(keep, self.admission.keep_crowded) if self.crowded else keep

    def figures(self) -> dict[str, int]:
        """What the console says: sources known, whether the house is crowded, refusals by reason."""
        told = {reason.value: self.counts[reason.value] for reason in Reason}
        return {
            "addresses": len(self._addresses), "crowded": int(self.crowded), "house": self.house, **told
        }  # fmt: skip

    def change(self, admission: Admission) -> None:
        """New settings. They count for those who are there; nobody is sent away who is within the house."""
        if (admission.prefix_v4, admission.prefix_v6) != (self.admission.prefix_v4, self.admission.prefix_v6):
            self._regroup(admission)
        self.admission = admission

    def _both(self, ticket: int) -> tuple[tuple[_Table, Quota, int], tuple[_Table, Quota, int]]:
        a = self.admission
        prefix = self._prefix_of[ticket]
        return (self._addresses, a.address, ticket), (self._prefixes, a.prefix, prefix)

    def _entry(self, address: str, now: float) -> int:
        a = self.admission
        key, prefix = key_of(address, a.prefix_v4, a.prefix_v6)
        for table, quota in ((self._addresses, a.address), (self._prefixes, a.prefix)):
            if table.empty > FORGET_AT + len(table) // 2:
                table.forget(quota, now)
        ticket = self._addresses.entry(key, now)
        while len(self._prefix_of) <= ticket:
            self._prefix_of.append(0)
        self._prefix_of[ticket] = self._prefixes.entry(prefix, now)
        return ticket

    def _refusal(self, ticket: int, now: float) -> Refusal | None:
        a = self.admission
        reasons = ((Reason.ADDRESS_HELD, Reason.ADDRESS_RATE), (Reason.PREFIX_HELD, Reason.PREFIX_RATE))
        for (table, quota, entry), (held, rate) in zip(self._both(ticket), reasons, strict=True):
            if table.held[entry] >= quota.held:
                return self._refuse(held)
            missing = table.spent(entry, quota, now) + 1.0 - quota.burst
            if quota.rate < inf and missing > 0.0:
                # Who comes faster than allowed is closed: an answer to each would be at the others' cost.
                return Refusal(rate, False, 1000.0 * missing / quota.rate)
        if self.crowded and self._addresses.held[ticket] >= a.crowded_share * self._most:
            return self._refuse(Reason.CROWDED_SHARE)
        return None

    def _refuse(self, reason: Reason) -> Refusal:
        return Refusal(reason, True, self.admission.retry_after)

    def _regroup(self, admission: Admission) -> None:
        """Counts prefixes of another length."""
        prefixes = _Table()
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
