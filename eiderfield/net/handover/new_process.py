"""The new process's role in a handover: it asks, takes the state and the listeners, then the connections.

    idle ──(ask)──> asking ──(state taken)──> not accepting yet ──(listeners released)──> serving
                      └──(no answer in time, or link lost)──> serving on its own

Invariants: no start waits longer than the timeouts below, no two processes accept at one listener, and each
descriptor is served or closed.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from functools import partial

from eiderfield.exchange.timers import Timer
from eiderfield.net.clients import ConnectionHandover
from eiderfield.net.handover.channel import Channel
from eiderfield.net.handover.context import HandoverContext
from eiderfield.net.handover.messages import (
    PROTOCOL_VERSION,
    ConnectionPassed,
    DispatcherState,
    ListenersReleased,
    ParkedBatch,
    ParkedBatchTaken,
    ParkedDeparted,
    TakeoverAccepted,
    TakeoverDelayed,
    TakeoverRequest,
)

ANSWER_TIMEOUT_MS = 1500.0  # after which the new process starts on its own
DELAYED_ANSWER_TIMEOUT_MS = 5000.0  # the same after a `TakeoverDelayed`
_TAKEN = -1  # in a list of descriptors: one that is not to be closed


class NewProcess:
    """Takes over from the process at the other end of a channel."""

    def __init__(self, context: HandoverContext, channel: Channel, share_updates: Callable[[], None]) -> None:
        """Creates the role; `share_updates` starts the updates on this process's load and bans."""
        self._context = context
        self._channel = channel
        self._share_updates = share_updates
        self._on_finished: Callable[[], None] | None = None
        self._timer: Timer | None = None
        self._adopted: list[str] = []  # names of the listeners of the old process

    def ask(self, on_finished: Callable[[], None]) -> None:
        """Ask the old process to hand over; `on_finished` is called after success or failure."""
        self._on_finished = on_finished
        self._start_timer(ANSWER_TIMEOUT_MS)
        self._channel.send(TakeoverRequest(PROTOCOL_VERSION, with_peers=self._context.peers is not None))

    def extend_timeout(self, _message: TakeoverDelayed) -> None:
        """Wait longer: the old process first has to finish another handover."""
        if self._timer is not None:
            self._start_timer(DELAYED_ANSWER_TIMEOUT_MS)

    def take_state(self, state: DispatcherState, descriptors: list[int]) -> None:
        """Take the old process's state and listeners, without accepting yet."""
        if state.with_peers:
            self._adopt_peers(socket.socket(fileno=descriptors.pop()))
        self._adopt_listeners(state.listeners, descriptors)
        context = self._context
        context.table.take_over(state.table, state.bans)
        context.exchange.other_process.update_request_ids(state.request_ids, ())
        for attempts in state.attempts:
            worker = context.table.ids.worker(attempts.worker)
            context.exchange.other_process.update_attempts(worker, attempts.count, 0.0)
        if state.learned is not None:
            context.exchange.resume(state.learned, context.clock())
        self._share_updates()
        for name in self._adopted:
            context.listeners[name].parking.on_borrowed_removed = partial(self._report_departed, name)
        self._channel.send(TakeoverAccepted(tuple(self._adopted), takes_parked=True))

    def start_accepting(self, message: ListenersReleased) -> None:
        """Accept at the adopted listeners: the old process has stopped."""
        self._update_counts(message.connection_counts)
        self._context.workers.share_connections(True)
        if self._context.peers is not None:
            self._context.peers.resume()
        for name in self._adopted:
            self._context.listeners[name].set_passive(False)
        self.finish()

    def take_parked(self, message: ParkedBatch, descriptors: list[int]) -> None:
        """Take a batch of parked connections and return those for which there is no room."""
        self._update_counts(message.connection_counts)
        parking = self._context.listeners[message.listener].parking
        refused = []
        for index, since in enumerate(message.since):
            key = message.keys[index] if message.keys else None
            if parking.borrow(descriptors[index], since, key):
                descriptors[index] = _TAKEN
            elif key is not None:
                refused.append(key)
        self._channel.send(ParkedBatchTaken(message.listener, tuple(refused)))

    def take_connection(self, message: ConnectionPassed, descriptors: list[int]) -> None:
        """Serve a client connection from now on."""
        self._update_counts(message.connection_counts)
        [descriptor] = descriptors
        descriptors.clear()
        state = ConnectionHandover(message.proven, message.since, message.buffered)
        self._context.listeners[message.listener].adopt_connection(socket.socket(fileno=descriptor), state)

    def finish(self) -> None:
        """End the wait for the old process and call `on_finished`, once."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        on_finished, self._on_finished = self._on_finished, None
        if on_finished is not None:
            on_finished()

    def _start_timer(self, timeout: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._context.timers.at(self._context.clock() + timeout, self._answer_timed_out)

    def _answer_timed_out(self) -> None:
        self._context.log("handover: no answer from the old process, starting beside it")
        self._channel.end()

    def _adopt_peers(self, sock: socket.socket) -> None:
        if self._context.peers is None:
            sock.close()
            return
        self._context.peers.open(sock)
        self._context.peers.pause()  # until the old process has stopped using it

    def _adopt_listeners(self, names: tuple[str, ...], descriptors: list[int]) -> None:
        for name, descriptor in zip(names, descriptors, strict=True):
            sock = socket.socket(fileno=descriptor)
            listener = self._context.listeners.get(name)
            if listener is not None and not listener.listening:
                listener.adopt(self._context.loop, sock)
                listener.set_passive(True)  # until the old process has stopped accepting
                self._adopted.append(name)
            else:
                sock.close()
        descriptors.clear()

    def _report_departed(self, name: str, keys: list[int]) -> None:
        self._channel.send(ParkedDeparted(name, tuple(keys)))

    def _update_counts(self, connection_counts: Mapping[str, int]) -> None:
        """Count the old process's connections within the limits of this process's listeners."""
        for name, count in connection_counts.items():
            if name in self._context.listeners:
                self._context.listeners[name].held_by_other_process = count
