"""Admission control of a client listener: which connections are admitted and how fast messages must arrive.

Performs no I/O and reads no clock; times are in ms.

Each admitted connection has a ticket, which identifies the entries of its address and of its prefix in the
tables of sources.

    admit ──> ticket ──> begin_message <──> end_message ──> release
      └────> Rejection

The listener is overloaded while a large share of its descriptors or of the memory is in use
(`OverloadDetector`). An overloaded listener applies shorter timeouts to heads and to parked connections, and
limits each address to a share of the connections. At full capacity a new connection replaces one that may be
evicted, because the new one may carry a request. While memory is scarce, the capacity is the number of
connections that were open when the shortage began: freed memory is not certain to return to the system, so a
capacity that falls with the number of connections could reject every client for ever.

Invariants: each ticket is released once, after its message has ended; a message's time limit counts from its
first byte and never exceeds the limit of the complete message.
"""

from __future__ import annotations

from array import array
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from math import inf

from eiderfield.connections.overload import OverloadDetector
from eiderfield.connections.settings import AdmissionSettings
from eiderfield.connections.sources import SourceTable, prefix_key, source_keys

MIN_CAPACITY = 16  # connections that may be open even while memory is scarce
DEFAULT_MAX_CONNECTIONS = 1024


class Reason(Enum):
    """Why a connection is rejected or a message is aborted. The values are names of the console's figures."""

    ADDRESS_CONNECTIONS = "address_held"
    ADDRESS_RATE = "address_rate"
    ADDRESS_MESSAGES = "address_begun"
    PREFIX_CONNECTIONS = "prefix_held"
    PREFIX_RATE = "prefix_rate"
    PREFIX_MESSAGES = "prefix_begun"
    ADDRESS_SHARE = "crowded_share"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    EVICTED = "evicted"  # closed for a new connection
    MEMORY_MESSAGE = "memory_message"  # an incomplete message was ended, since memory is scarce
    MEMORY_REQUEST = "memory_request"  # a request was refused, since memory is scarce
    MEMORY_RESPONSE = "memory_response"  # a client did not read its response while memory was scarce


class ConnectionKind(Enum):
    """The kinds of connections that may be evicted for a new one."""

    UNPROVEN = "unproven"  # has sent no request yet, or its last response is written
    PARKED = "parked"
    IDLE = "idle"  # idle and not parked


# The order in which kinds are evicted. Within a kind the longest idle connection is evicted first.
EVICTION_ORDER = (ConnectionKind.UNPROVEN, ConnectionKind.PARKED, ConnectionKind.IDLE)


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why a connection or a message is not admitted.

    Attributes:
        reason: the limit that was reached.
        answer: whether the client receives a 503 response; if not, the connection is closed without one.
        retry_after: the delay that the response advises, in ms.
    """

    reason: Reason
    answer: bool
    retry_after: float


@dataclass(slots=True, frozen=True)
class Limit:
    """A time limit: when it expires, in ms, and the reason to count if it is exceeded."""

    at: float
    reason: Reason | None = None


class AdmissionControl:
    """Counts the connections of a listener by source and decides which are admitted."""

    def __init__(
        self, settings: AdmissionSettings | None = None, max_connections: int = DEFAULT_MAX_CONNECTIONS
    ) -> None:
        """Create admission control for a listener that has no connections."""
        self.settings = settings or AdmissionSettings()
        self.counts: Counter[str] = Counter()  # rejections and slow messages by reason
        self.addresses = SourceTable(self.settings.address_quota)
        self.prefixes = SourceTable(self.settings.prefix_quota)
        self._prefix_entries = array("I")  # the prefix's entry, by the address's entry (the ticket)
        self._max_connections = max_connections
        self._memory_capacity = inf  # connections open when memory became scarce, else infinity
        self._descriptors = OverloadDetector()
        self._memory = OverloadDetector()

    @property
    def overloaded(self) -> bool:
        """Whether descriptors or memory are scarce."""
        return self._descriptors.overloaded or self._memory.overloaded

    @property
    def capacity(self) -> int:
        """The number of connections that may be open now."""
        return int(min(self._max_connections, self._memory_capacity))

    def update_usage(self, now: float, connections: int, memory_share: float) -> None:
        """Record how many connections are open, and the share of memory in use."""
        settings = self.settings
        share = connections / max(1, self._max_connections)
        self._descriptors.update(share, settings.descriptors, settings.min_overload_time, now)
        self._memory.update(memory_share, settings.memory, settings.min_overload_time, now)
        if not self._memory.overloaded:
            self._memory_capacity = inf
        elif self._memory_capacity == inf:  # set once: a connection that closes later must not lower it
            self._memory_capacity = max(connections, MIN_CAPACITY)

    # Connections.

    def admit(self, address: str, now: float) -> int | Rejection:
        """Return the ticket of a new connection, or why it is rejected."""
        ticket = self._ticket(address, now)
        rejection = self._check_connection(ticket, now)
        if rejection is not None:
            self.counts[rejection.reason.value] += 1
            return rejection
        self.addresses.take_token(ticket, now)
        self.prefixes.take_token(self._prefix_entries[ticket], now)
        self._add_connection(ticket)
        return ticket

    def register(self, address: str, now: float) -> int:
        """Return the ticket of a connection that is open already (after a handover), whatever the limits."""
        ticket = self._ticket(address, now)
        self._add_connection(ticket)
        return ticket

    def release(self, ticket: int) -> None:
        """Stop counting a connection that is closed."""
        self.addresses.remove_connection(ticket)
        self.prefixes.remove_connection(self._prefix_entries[ticket])

    def idle_limit(self, idle_timeout: float) -> float:
        """Return the idle timeout that applies now, where `idle_timeout` is configured."""
        return min(idle_timeout, self.settings.overloaded_idle_timeout) if self.overloaded else idle_timeout

    # Messages.

    def begin_message(self, ticket: int) -> Rejection | None:
        """Count a message whose first byte has arrived; return a rejection if its source has too many."""
        addresses, prefixes, prefix = self.addresses, self.prefixes, self._prefix_entries[ticket]
        reason = None
        if addresses.incomplete_messages[ticket] >= addresses.quota.max_incomplete_messages:
            reason = Reason.ADDRESS_MESSAGES
        elif prefixes.incomplete_messages[prefix] >= prefixes.quota.max_incomplete_messages:
            reason = Reason.PREFIX_MESSAGES
        if reason is not None:
            self.counts[reason.value] += 1
            return self._rejection_for(reason)
        addresses.incomplete_messages[ticket] += 1
        prefixes.incomplete_messages[prefix] += 1
        return None

    def end_message(self, ticket: int) -> None:
        """Stop counting a message that is complete or aborted."""
        self.addresses.incomplete_messages[ticket] -= 1
        self.prefixes.incomplete_messages[self._prefix_entries[ticket]] -= 1

    def head_limit(self, started_at: float) -> Limit:
        """Return the time limit for the head of a message."""
        timeouts = self.settings.timeouts
        allowed = timeouts.overloaded_head if self.overloaded else timeouts.head
        return Limit(started_at + min(timeouts.message, timeouts.head, allowed), Reason.SLOW_HEAD)

    def body_limit(self, started_at: float, head_at: float, received: int) -> Limit:
        """Return the time limit for the next byte of a body of which `received` bytes have arrived.

        The message started at `started_at`, and its head was complete at `head_at`.
        """
        timeouts = self.settings.timeouts
        expires_at = started_at + timeouts.message
        if timeouts.min_body_rate > 0.0:
            earned_time = 1000.0 * received / timeouts.min_body_rate
            expires_at = min(expires_at, head_at + timeouts.body_grace + earned_time)
        return Limit(expires_at, Reason.SLOW_BODY)

    def count(self, reason: Reason) -> None:
        """Count a connection that is cut off."""
        self.counts[reason.value] += 1

    # Operation.

    def figures(self) -> dict[str, int]:
        """Return the console's figures: known addresses, state, capacity, rejections by reason."""
        by_reason = {reason.value: self.counts[reason.value] for reason in Reason}
        return {
            "addresses": len(self.addresses),
            "crowded": int(self.overloaded),
            "house": self.capacity,
            **by_reason,
        }

    def reconfigure(self, settings: AdmissionSettings) -> None:
        """Apply new settings. Open connections count towards the new limits, but none is closed."""
        old, self.settings = self.settings, settings
        if (settings.prefix_v4, settings.prefix_v6) != (old.prefix_v4, old.prefix_v6):
            self._recount_prefixes()
        self.addresses.quota = settings.address_quota
        self.prefixes.quota = settings.prefix_quota

    def _ticket(self, address: str, now: float) -> int:
        keys = source_keys(address, self.settings.prefix_v4, self.settings.prefix_v6)
        self.addresses.forget_unused(now)
        self.prefixes.forget_unused(now)
        ticket = self.addresses.entry(keys.address, now)
        while len(self._prefix_entries) <= ticket:
            self._prefix_entries.append(0)
        self._prefix_entries[ticket] = self.prefixes.entry(keys.prefix, now)
        return ticket

    def _add_connection(self, ticket: int) -> None:
        self.addresses.add_connection(ticket)
        self.prefixes.add_connection(self._prefix_entries[ticket])

    def _check_connection(self, ticket: int, now: float) -> Rejection | None:
        for table, entry, connections_reason, rate_reason in (
            (self.addresses, ticket, Reason.ADDRESS_CONNECTIONS, Reason.ADDRESS_RATE),
            (self.prefixes, self._prefix_entries[ticket], Reason.PREFIX_CONNECTIONS, Reason.PREFIX_RATE),
        ):
            if table.connections[entry] >= table.quota.max_connections:
                return self._rejection_for(connections_reason)
            wait = table.token_wait(entry, now)
            if wait > 0.0:  # no response: responding to a flood of connections would slow the other clients
                return Rejection(rate_reason, False, wait)
        address_limit = self.settings.overloaded_address_share * self._max_connections
        if self.overloaded and self.addresses.connections[ticket] >= address_limit:
            return self._rejection_for(Reason.ADDRESS_SHARE)
        return None

    def _rejection_for(self, reason: Reason) -> Rejection:
        return Rejection(reason, True, self.settings.retry_after)

    def _recount_prefixes(self) -> None:
        """Rebuild the counts of prefixes after their length has changed; their token buckets start full."""
        settings, addresses = self.settings, self.addresses
        prefixes = SourceTable(settings.prefix_quota)
        for ticket, address_key in addresses.keys.items():
            key = prefix_key(address_key, settings.prefix_v4, settings.prefix_v6)
            entry = prefixes.entry(key, addresses.updated_at[ticket])
            for _ in range(addresses.connections[ticket]):
                prefixes.add_connection(entry)
            prefixes.incomplete_messages[entry] += addresses.incomplete_messages[ticket]
            self._prefix_entries[ticket] = entry
        self.prefixes = prefixes
