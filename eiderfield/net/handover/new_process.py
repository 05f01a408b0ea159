"""The new process's side of a handover: it asks, takes the state and the listeners, and takes clients over.

    idle ──(ask)──> asking ──(state taken)──> accepting nothing yet ──(listeners released)──> serving
                      └──(no answer in time, or the link is lost)──> serving by itself

What must never happen: a start that waits longer than `PATIENCE`; two processes that accept at one listener;
a descriptor that is neither served nor closed.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from functools import partial

from eiderfield.exchange.timers import Timer
from eiderfield.net.clients import ConnectionHandover
from eiderfield.net.handover.channel import Channel
from eiderfield.net.handover.learnt import to_policy
from eiderfield.net.handover.messages import (
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
from eiderfield.net.handover.parts import Parts

FORM = 1  # of the messages; a process that speaks another is no peer
PATIENCE = 1500.0  # ms for which the new process waits for the old one before it starts by itself
PATIENCE_DELAYED = 5000.0  # the same where the old one says that the one before it is still ending


class NewProcess:
    """Takes over from the process at the other end of a channel."""

    def __init__(self, parts: Parts, channel: Channel, share_updates: Callable[[], None]) -> None:
        """`share_updates` is called when what changes here has to be told from then on."""
        self._parts = parts
        self._channel = channel
        self._share_updates = share_updates
        self._finished: Callable[[], None] | None = None
        self._timer: Timer | None = None
        self._adopted: list[str] = []  # the listeners that came along

    def ask(self, finished: Callable[[], None]) -> None:
        """Asks for the handover; `finished` is called once it is over, well or not."""
        self._finished = finished
        self._wait(PATIENCE)
        self._channel.send(TakeoverRequest(FORM, with_peers=self._parts.peers is not None))

    def delayed(self, message: TakeoverDelayed, descriptors: list[int]) -> None:
        """The old process has to end another handover first."""
        if self._timer is not None:
            self._wait(PATIENCE_DELAYED)

    def take_state(self, message: DispatcherState, descriptors: list[int]) -> None:
        """Takes the old process's state and listeners, which rest until the old one accepts no more."""
        if message.with_peers:
            self._adopt_peers(socket.socket(fileno=descriptors.pop()))
        self._adopt_listeners(message.listeners, descriptors)
        parts = self._parts
        parts.table.take_over(message.table, message.bans)
        parts.exchange.update_other_process_ids(message.request_ids, ())
        for attempts in message.attempts:
            parts.exchange.update_other_process_attempts(
                parts.table.ids.worker(attempts.worker), attempts.out, 0.0
            )
        if message.learnt is not None:
            parts.exchange.resume(to_policy(message.learnt), parts.clock())
        self._share_updates()
        for name in self._adopted:
            parts.listeners[name].parking.on_departure = partial(self._tell_departed, name)
        self._channel.send(TakeoverAccepted(tuple(self._adopted), takes_parked=True))

    def take_listeners(self, message: ListenersReleased, descriptors: list[int]) -> None:
        """Begins to accept: the old process accepts no more."""
        self._count(message.connections)
        self._parts.workers.share_connections(True)
        if self._parts.peers is not None:
            self._parts.peers.resume()
        for name in self._adopted:
            self._parts.listeners[name].set_passive(False)
        self.finish()

    def take_parked(self, message: ParkedBatch, descriptors: list[int]) -> None:
        """Takes a batch of parked connections. Those for which there is no room go back."""
        self._count(message.connections)
        listener = self._parts.listeners[message.listener]
        refused = []
        for place, since in enumerate(message.since):
            key = message.keys[place] if message.keys else None
            if listener.parking.borrow(descriptors[place], since, key):
                descriptors[place] = -1
            elif key is not None:
                refused.append(key)
        self._channel.send(ParkedBatchTaken(message.listener, tuple(refused)))

    def take_connection(self, message: ConnectionPassed, descriptors: list[int]) -> None:
        """Serves a client's connection from now on."""
        self._count(message.connections)
        [descriptor] = descriptors
        descriptors.clear()
        state = ConnectionHandover(message.proven, message.since, message.begun)
        self._parts.listeners[message.listener].adopt_connection(socket.socket(fileno=descriptor), state)

    def finish(self) -> None:
        """The handover is over, well or not."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        finished, self._finished = self._finished, None
        if finished is not None:
            finished()

    def _wait(self, patience: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._parts.timers.at(self._parts.clock() + patience, self._give_up)

    def _give_up(self) -> None:
        self._parts.log("the process before says nothing: this one starts beside it")
        self._channel.end()

    def _adopt_peers(self, sock: socket.socket) -> None:
        if self._parts.peers is None:
            sock.close()
            return
        self._parts.peers.open(sock)
        self._parts.peers.pause()  # until the old one has let go of it

    def _adopt_listeners(self, names: tuple[str, ...], descriptors: list[int]) -> None:
        for name, descriptor in zip(names, descriptors, strict=True):
            sock = socket.socket(fileno=descriptor)
            listener = self._parts.listeners.get(name)
            if listener is not None and not listener.listening:
                listener.adopt(self._parts.loop, sock)
                listener.set_passive(True)  # until the old one has let go of it
                self._adopted.append(name)
            else:
                sock.close()
        descriptors.clear()

    def _tell_departed(self, name: str, keys: list[int]) -> None:
        self._channel.send(ParkedDeparted(name, tuple(keys)))

    def _count(self, connections: Mapping[str, int]) -> None:
        """How many connections the old process still has counts within what this one may have."""
        for name, count in connections.items():
            if name in self._parts.listeners:
                self._parts.listeners[name].held_by_other_process = count
