"""Messages that wait for the end of a job of this dispatcher."""

from __future__ import annotations

from eiderfield.batch.drmaa import ExitTimeoutError
from eiderfield.batch.messages import ToUnix
from eiderfield.batch.registry import JobRegistry
from eiderfield.batch.replies import send_error, send_status
from eiderfield.net.clients.front import ListenerStatus, Responder


class LocalWait:
    """A client's wait for the end of a job of this dispatcher. Sends one response."""

    def __init__(
        self,
        registry: JobRegistry,
        listener: ListenerStatus,
        connection: Responder,
        job_id: str,
        timeout_ms: float,
        to_unix: ToUnix,
    ) -> None:
        """Start to wait, for `timeout_ms` at the most, for a job that has no final answer yet."""
        self._registry = registry
        self._connection = connection
        self._job_id = job_id
        self._to_unix = to_unix
        self._is_over = False
        self._timer = listener.timers.call_at(listener.clock() + timeout_ms, self._time_out)
        self._job = registry.wait(job_id, self._send_end)

    def abandon(self) -> None:
        """Stop waiting: the client has left, or the time is over."""
        self._is_over = True
        self._timer.cancel()
        self._job.remove_end_callback(self._send_end)

    def _send_end(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._timer.cancel()
        if self._connection.client_connected:
            self._registry.table.mark_fetched(self._job)
        send_status(self._connection, self._registry.status_of(self._job), self._to_unix)

    def _time_out(self) -> None:
        if self._is_over:
            return
        self.abandon()
        send_error(self._connection, ExitTimeoutError(f"job {self._job_id} is not final yet"))
