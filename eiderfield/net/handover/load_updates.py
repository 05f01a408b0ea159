"""Tells the other process which request ids are taken here, and how many attempts are out at each worker."""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.exchange.timers import Timers
from eiderfield.idmap import IdMap
from eiderfield.net.handover.messages import AttemptsOut, LoadChanged


class LoadUpdates:
    """Collects what the exchange reports until the next tick. It is the exchange's witness."""

    def __init__(
        self,
        ids: IdMap,
        timers: Timers,
        clock: Callable[[], float],
        send: Callable[[LoadChanged], None],
    ) -> None:
        """`send` is called with what has changed."""
        self._ids = ids
        self._timers = timers
        self._clock = clock
        self._send = send
        self._request_ids: dict[str, bool] = {}  # taken, or free again
        self._attempts: dict[int, AttemptsOut] = {}
        self._scheduled = False

    def request_taken(self, id_: str) -> None:
        """A request with this id has been taken."""
        self._request_ids[id_] = True
        self._schedule()

    def id_released(self, id_: str) -> None:
        """The id is free again."""
        self._request_ids[id_] = False
        self._schedule()

    def attempts_changed(self, worker: int, out: int, work: float) -> None:
        """How many attempts are out at a worker now, and the work that was just sent there."""
        before = self._attempts[worker].work if worker in self._attempts else 0.0
        self._attempts[worker] = AttemptsOut(self._ids.name(worker), out, before + work)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._timers.at(self._clock(), self._flush)

    def _flush(self) -> None:
        self._scheduled = False
        request_ids, self._request_ids = self._request_ids, {}
        attempts, self._attempts = self._attempts, {}
        self._send(LoadChanged(request_ids, tuple(attempts.values())))
