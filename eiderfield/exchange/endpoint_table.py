"""The endpoint list as the exchange last received it."""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.interface import Endpoint, EndpointListKind, EndpointState


class EndpointTable:
    """The state of each worker, in force at once for every attempt that has not started."""

    def __init__(self) -> None:
        """Create a table without workers."""
        self.states: dict[int, EndpointState] = {}
        self._endpoints: dict[int, Endpoint] = {}  # each worker that was ever listed, as last listed

    @property
    def any_ready(self) -> bool:
        """Whether any worker accepts requests."""
        return EndpointState.READY in self.states.values()

    def update(self, kind: EndpointListKind, endpoints: Iterable[Endpoint]) -> None:
        """Apply a change of the list, or a whole list; workers that a whole list leaves out are gone."""
        if kind != EndpointListKind.DELTA:
            self.states = dict.fromkeys(self.states, EndpointState.GONE)
        for endpoint in endpoints:
            self.states[endpoint.worker] = endpoint.state
            self._endpoints[endpoint.worker] = endpoint

    def endpoint(self, worker: int) -> Endpoint:
        """Return a worker as last listed; an endpoint without a place, and gone, if it never was."""
        return self._endpoints.get(worker, Endpoint(worker, state=EndpointState.GONE))
