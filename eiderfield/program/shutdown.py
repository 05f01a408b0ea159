"""The graceful shutdown of a process.

    running ──(begin)──> accepting ──(close_listeners_at)──> no new connections ──┐
                            └──(send_away_at, or nobody is connected)─────────────┴──> ending ──> ended

    ending: connections without a pending response are closed or passed on, until no part is busy

What must never happen: an accepted request without an answer; a listener that is closed while a client waits
that a full listener could still accept.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from eiderfield.exchange.exchange import Exchange
from eiderfield.net.clients import Listener
from eiderfield.net.handover import Handover
from eiderfield.net.loop import Driver
from eiderfield.net.shutdown_times import ShutdownTimes
from eiderfield.program.part import DrainTimes, Part

CHECK_INTERVAL_MS = 50.0  # between checks of what is left to do


class Shutdown:
    """Ends a process once all accepted requests are answered."""

    def __init__(
        self,
        driver: Driver,
        exchange: Exchange,
        parts: Sequence[Part],
        listeners: Sequence[Listener],
        handover: Handover,
        ended: Callable[[], None],
        is_kept: Callable[[Listener], bool] = lambda _listener: False,
    ) -> None:
        """`ended` is called once all parts are stopped.

        `is_kept` returns whether a listener has to stay open for now.
        """
        self._driver = driver
        self._exchange = exchange
        self._parts = parts
        self._listeners = listeners
        self._handover = handover
        self._ended = ended
        self._is_kept = is_kept
        self._ending = False
        self._listeners_closed = False
        self._keep_alive_disabled = False

    @property
    def begun(self) -> bool:
        """Whether the shutdown has begun."""
        return any(listener.draining for listener in self._listeners)

    def begin(self, longest_deadline: float) -> None:
        """Begin the shutdown; `longest_deadline` is that of the classes, in ms."""
        if self.begun:
            return
        now = self._driver.clock()
        after = ShutdownTimes.of(longest_deadline)
        times = DrainTimes(
            now + after.close_listeners_after,
            now + after.disable_keep_alive_after,
            now + after.answered_after,
        )
        for listener in self._listeners:
            listener.draining = True
        self._driver.wheel.call_at(times.close_listeners_at, partial(self.close_listeners, times.answered_by))
        # Where the others are restarting too, clients sent away at once would have nowhere to go.
        self._driver.wheel.call_at(times.send_away_at, self._send_clients_away)
        for part in self._parts:
            part.drain(times)
        if self._handover.handed_over:  # the next process takes who connects and who is connected
            for listener in self._listeners:
                listener.stop_listening()
            self._end_when_idle()

    def close_listeners(self, answered_by: float) -> None:
        """Close the listeners once no client waits to be accepted.

        Closing would reset clients that a full listener cannot accept yet; room appears as others are closed.
        """
        for listener in self._listeners:
            listener.response_deadline = answered_by
        if not self._ending and any(listener.has_waiting_clients for listener in self._listeners):
            self._again(partial(self.close_listeners, answered_by))
            return
        self._listeners_closed = True
        for listener in self._not_kept():
            listener.stop_listening()
        if not self._exchange.pending_request_count and not any(each.connections for each in self._listeners):
            self._send_clients_away()

    def _not_kept(self) -> list[Listener]:
        return [listener for listener in self._listeners if not self._is_kept(listener)]

    def _send_clients_away(self) -> None:
        self._keep_alive_disabled = True
        self._close_to_clients()
        if not self._ending:
            self._end_when_idle()

    def _close_to_clients(self) -> None:
        """Close what is due at the listeners that are not kept, or not any more."""
        for listener in self._not_kept():
            if self._listeners_closed:
                listener.stop_listening()
            if self._keep_alive_disabled:
                listener.keep_alive_disabled = listener.successor is None

    def _end_when_idle(self) -> None:
        self._ending = True
        self._close_to_clients()
        self._handover.pass_idle_clients()
        for listener in self._listeners:
            if listener.keep_alive_disabled:
                listener.close_idle()
        if any(part.busy for part in self._parts):
            self._again(self._end_when_idle)
            return
        for part in self._parts:
            part.stop()
        self._ended()

    def _again(self, call: Callable[[], None]) -> None:
        self._driver.wheel.call_at(self._driver.clock() + CHECK_INTERVAL_MS, call)
