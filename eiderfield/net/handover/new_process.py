"""The new process's role in a handover: it adopts the state, listeners and clients of the old process.

    idle ──(request_takeover)──> waiting ──(state received)──> passive ──(listeners released)──> accepting
                                   └──(timeout, or link lost)──> accepting without the old process's state

A passive process has the listeners but does not accept connections yet.

Invariants:

- The start of a process is delayed by no more than the timeouts below.
- The two processes never accept at the same listener at the same time.
- Every received descriptor is either served or closed.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from functools import partial

from eiderfield.exchange.timers import Timer
from eiderfield.net.clients import ConnectionHandover
from eiderfield.net.handover.channel import Channel
from eiderfield.net.handover.context import HandoverContext
from eiderfield.net.handover.learned_names import renumber
from eiderfield.net.handover.messages import (
    PROTOCOL_VERSION,
    ConnectionPassed,
    ConnectionsUnparked,
    DispatcherState,
    ListenersReleased,
    ParkedBatch,
    ParkedBatchResult,
    TakeoverAccepted,
    TakeoverDelayed,
    TakeoverRequest,
)

ANSWER_TIMEOUT_MS = 1500.0  # from the request until the new process starts without the old one's state
DELAYED_ANSWER_TIMEOUT_MS = 5000.0  # replaces `ANSWER_TIMEOUT_MS` when a `TakeoverDelayed` is received
_ADOPTED = -1  # replaces a descriptor in a list whose remaining descriptors are closed


class NewProcess:
    """Takes over from the process at the other end of the channel."""

    def __init__(self, context: HandoverContext, channel: Channel, share_updates: Callable[[], None]) -> None:
        """Create the role.

        Args:
            context: The parts of the dispatcher that take part in the handover.
            channel: The channel to the old process.
            share_updates: Called to start sending this process's changes of load and bans.
        """
        self._context = context
        self._channel = channel
        self._share_updates = share_updates
        self._on_finished: Callable[[], None] | None = None
        self._timer: Timer | None = None
        self._adopted_listeners: list[str] = []  # names of the listeners received from the old process

    def request_takeover(self, on_finished: Callable[[], None]) -> None:
        """Request a handover; `on_finished` is called once, after success or failure."""
        self._on_finished = on_finished
        self._start_timer(ANSWER_TIMEOUT_MS)
        self._channel.send(TakeoverRequest(PROTOCOL_VERSION, with_peers=self._context.peers is not None))

    def extend_timeout(self, _message: TakeoverDelayed) -> None:
        """Extend the timeout: the old process has to finish another handover first."""
        if self._timer is not None:
            self._start_timer(DELAYED_ANSWER_TIMEOUT_MS)

    def adopt_state(self, state: DispatcherState, descriptors: list[int]) -> None:
        """Adopt the old process's state and listeners, without accepting connections yet."""
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
            learned = renumber(state.learned, state.names, context.exchange, context.table.ids)
            context.exchange.resume(learned, context.clock())
        self._share_updates()
        for name in self._adopted_listeners:
            context.listeners[name].parking.on_borrowed_removed = partial(self._report_unparked, name)
        self._channel.send(TakeoverAccepted(tuple(self._adopted_listeners), accepts_parked_batches=True))

    def start_accepting(self, message: ListenersReleased) -> None:
        """Accept connections at the adopted listeners: the old process has stopped doing so."""
        self._update_counts(message.connection_counts)
        self._context.workers.share_connections(True)
        if self._context.peers is not None:
            self._context.peers.resume()
        for name in self._adopted_listeners:
            self._context.listeners[name].set_passive(False)
        self.finish()

    def adopt_parked(self, message: ParkedBatch, descriptors: list[int]) -> None:
        """Adopt a batch of parked connections; report those for which there is no capacity as refused."""
        self._update_counts(message.connection_counts)
        parking = self._context.listeners[message.listener].parking
        refused = []
        for index, since in enumerate(message.since):
            key = message.keys[index] if message.keys else None
            if parking.borrow(descriptors[index], since, key):
                descriptors[index] = _ADOPTED
            elif key is not None:
                refused.append(key)
        self._channel.send(ParkedBatchResult(message.listener, tuple(refused)))

    def adopt_connection(self, message: ConnectionPassed, descriptors: list[int]) -> None:
        """Adopt a client connection."""
        self._update_counts(message.connection_counts)
        [descriptor] = descriptors
        descriptors.clear()
        state = ConnectionHandover(message.proven, message.since, message.buffered)
        self._context.listeners[message.listener].adopt_connection(socket.socket(fileno=descriptor), state)

    def finish(self) -> None:
        """Stop waiting for the old process; call `on_finished` unless it was called before."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        on_finished, self._on_finished = self._on_finished, None
        if on_finished is not None:
            on_finished()

    def _start_timer(self, timeout: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._context.timers.call_at(self._context.clock() + timeout, self._answer_timed_out)

    def _answer_timed_out(self) -> None:
        self._context.log("handover: no answer from the old process, starting beside it")
        self._channel.close_as_lost()

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
                self._adopted_listeners.append(name)
            else:
                sock.close()
        descriptors.clear()

    def _report_unparked(self, name: str, keys: list[int]) -> None:
        self._channel.send(ConnectionsUnparked(name, tuple(keys)))

    def _update_counts(self, connection_counts: Mapping[str, int]) -> None:
        """Count the old process's connections towards the limits of this process's listeners."""
        for name, count in connection_counts.items():
            if name in self._context.listeners:
                self._context.listeners[name].held_by_other_process = count
