"""Queue of the events that the next turn passes to the policy."""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.interface import EndpointsUpdated, Event


class EventQueue:
    """The events for the next turn, in the order in which the policy handles them: endpoint updates first."""

    def __init__(self, wake: Callable[[], None]) -> None:
        """Create an empty queue. `wake` is called for each event; it schedules a turn of the event loop."""
        self._wake = wake
        self._endpoint_updates: list[EndpointsUpdated] = []
        self._events: list[Event] = []

    def post(self, event: Event) -> None:
        """Add an event."""
        self._events.append(event)
        self._wake()

    def post_endpoint_update(self, update: EndpointsUpdated) -> None:
        """Add a change of the endpoint list, which precedes all other events of the turn."""
        self._endpoint_updates.append(update)
        self._wake()

    def pending(self) -> list[Event]:
        """Return the events that the next turn handles, without removing them."""
        return [*self._endpoint_updates, *self._events]

    def take_all(self) -> list[Event]:
        """Remove all events and return them."""
        events = self.pending()
        self._endpoint_updates, self._events = [], []
        return events
