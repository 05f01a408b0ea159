"""Table of the workers in the endpoint list that was received last."""

from __future__ import annotations

from collections.abc import Iterable

from eiderfield.interface import Endpoint, EndpointListKind, EndpointState


class EndpointTable:
    """The state of each worker. A change applies at once to every attempt that has not started."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.states: dict[int, EndpointState] = {}
        self._endpoints: dict[int, Endpoint] = {}  # every worker ever listed, as last listed

    @property
    def any_ready(self) -> bool:
        """Whether at least one worker accepts requests."""
        return EndpointState.READY in self.states.values()

    def update(self, kind: EndpointListKind, endpoints: Iterable[Endpoint]) -> None:
        """Apply a delta or a full list. Workers that a full list does not name are set to gone."""
        if kind != EndpointListKind.DELTA:
            self.states = dict.fromkeys(self.states, EndpointState.GONE)
        for endpoint in endpoints:
            self.states[endpoint.worker] = endpoint.state
            self._endpoints[endpoint.worker] = endpoint

    def endpoint(self, worker: int) -> Endpoint:
        """Return a worker as last listed; one that was never listed is gone and has the default zone."""
        return self._endpoints.get(worker, Endpoint(worker, state=EndpointState.GONE))
