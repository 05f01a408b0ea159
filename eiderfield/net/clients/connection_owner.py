"""The interface that a client's connection has of its listener."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from eiderfield.connections.admission import Reason
from eiderfield.net.clients.connection_table import ConnectionT, ConnectionTable
from eiderfield.net.clients.connection_timer import TimerSettings
from eiderfield.net.clients.deferred_reads import DeferredReads
from eiderfield.net.clients.detached import Detach
from eiderfield.net.clients.front import Front, ListenerStatus
from eiderfield.net.clients.turn_figures import TurnFigures
from eiderfield.net.departures import DepartureWatch
from eiderfield.net.memory_budget import MemoryBudget


class ConnectionOwner(ListenerStatus, TimerSettings, Protocol[ConnectionT]):
    """The listener of a connection: its settings, and what the connection reports to it."""

    @property
    def front(self) -> Front:
        """Handles the messages."""

    @property
    def open_connections(self) -> ConnectionTable[ConnectionT]:
        """The connections of the listener, by the order of their eviction."""

    @property
    def departures(self) -> DepartureWatch | None:
        """Watches connections that are not read; None before the listener is open."""

    @property
    def memory(self) -> MemoryBudget:
        """Counts the bytes that the connection holds."""

    @property
    def deferred_reads(self) -> DeferredReads:
        """Continues messages that take many turns."""

    @property
    def turns(self) -> TurnFigures:
        """Records the work of each turn."""

    @property
    def keep_alive_disabled(self) -> bool:
        """Whether each response closes its connection."""

    @property
    def successor(self) -> Callable[[Detach], bool] | None:
        """Passes a connection to the next process between requests, None while there is no handover."""

    def remove(self, connection: ConnectionT) -> None:
        """Release what a closed connection holds."""

    def park(self, connection: ConnectionT) -> bool:
        """Park an idle connection; return whether it was possible."""

    def hand_over(self, connection: ConnectionT) -> bool:
        """Pass a connection to the next process; return whether it was possible."""

    def report_cut_off(self, connection: ConnectionT, reason: Reason) -> None:
        """Count and log a connection that this process ends for a reason of its own."""

    def count_disconnect(self) -> None:
        """Count a client that disconnected before its response."""

    def count_discarded_input(self) -> None:
        """Count a connection with input that was discarded after its last response."""

    def report_fault(self, error: Exception) -> None:
        """Log an error that a front raised."""
