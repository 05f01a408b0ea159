"""Notifications to the other process about request ids in use and open attempts."""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.exchange.timers import Timers
from eiderfield.idmap import IdMap
from eiderfield.net.handover.messages import LoadChanged, OpenAttempts


class LoadUpdates:
    """Collects the changes that the exchange reports and sends them in one message per tick of the timers.

    Implements `exchange.protocols.OtherProcess`.
    """

    def __init__(
        self,
        ids: IdMap,
        timers: Timers,
        clock: Callable[[], float],
        send: Callable[[LoadChanged], None],
    ) -> None:
        """Create an empty collection; `send` is called with the collected changes."""
        self._ids = ids
        self._timers = timers
        self._clock = clock
        self._send = send
        self._request_ids: dict[str, bool] = {}  # True if the id was taken, False if it was released
        self._attempts: dict[int, OpenAttempts] = {}  # by worker
        self._flush_scheduled = False

    def id_acquired(self, id_: str) -> None:
        """Record that a request with this id was accepted."""
        self._request_ids[id_] = True
        self._schedule_flush()

    def id_released(self, id_: str) -> None:
        """Record that the id can be used again."""
        self._request_ids[id_] = False
        self._schedule_flush()

    def attempts_changed(self, worker: int, count: int, work: float) -> None:
        """Record the number of open attempts at a worker, and the work that was just sent to it."""
        work_before = self._attempts[worker].work if worker in self._attempts else 0.0
        self._attempts[worker] = OpenAttempts(self._ids.worker_name(worker), count, work_before + work)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._timers.call_at(self._clock(), self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        request_ids, self._request_ids = self._request_ids, {}
        attempts, self._attempts = self._attempts, {}
        self._send(LoadChanged(request_ids, tuple(attempts.values())))
