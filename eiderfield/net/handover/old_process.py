"""The old process's side of a handover: it gives state and listeners away, then clients' connections.

    serving ──(asked)──> state sent ──(taken)──> handed over ──(all clients passed on or gone)──> ended
                             └──(the link is lost)──> serving

Parked connections follow in batches, each when the one before has been taken; the old process may keep copies
of them until it ends. At its end it passes on the connections that it still has.

What must never happen: a connection that both processes read; one that is passed on while an answer is owed.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial

from eiderfield.net.clients import Detach, Listener
from eiderfield.net.handover.channel import Channel
from eiderfield.net.handover.learnt import from_policy
from eiderfield.net.handover.messages import (
    AttemptsOut,
    ConnectionPassed,
    DispatcherState,
    ListenersReleased,
    ParkedBatch,
    ParkedBatchTaken,
    ParkedDeparted,
    TakeoverAccepted,
    TakeoverRequest,
    UnsupportedFormError,
)
from eiderfield.net.handover.new_process import FORM
from eiderfield.net.handover.parts import Parts

BATCH = 100  # parked connections in a message: about 1 ms of work on either side


class OldProcess:
    """Hands over to the process at the other end of a channel."""

    def __init__(self, parts: Parts, channel: Channel, share_updates: Callable[[], None]) -> None:
        """`share_updates` is called when what changes here has to be told from then on."""
        self.handed_over = False
        self._parts = parts
        self._channel = channel
        self._share_updates = share_updates
        self._shared: list[str] = []  # the listeners that both processes have
        self._lends = False  # whether the new process takes batches of parked connections
        self._lending = False  # whether a batch is on its way

    @property
    def flushed(self) -> bool:
        """Whether the new process has all that was sent to it."""
        return not self._channel.connected or (self._channel.flushed and not self._lending)

    def send_state(self, message: TakeoverRequest, descriptors: list[int]) -> None:
        """Answers a request for the handover."""
        if message.form != FORM:
            raise UnsupportedFormError(f"the other process speaks form {message.form}, not {FORM}")
        parts = self._parts
        sockets = {name: each.fd for name, each in parts.listeners.items() if each.fd is not None}
        passed = list(sockets.values())
        with_peers = message.with_peers and parts.peers is not None and parts.peers.sock is not None
        if with_peers and parts.peers is not None and parts.peers.sock is not None:
            passed.append(parts.peers.sock.fileno())
        state = self._state(tuple(sockets), with_peers)
        self._share_updates()
        self._channel.send(state, passed)

    def _state(self, listeners: tuple[str, ...], with_peers: bool) -> DispatcherState:
        exchange, table = self._parts.exchange, self._parts.table
        out_at = exchange.open_attempts_per_worker.items()
        return DispatcherState(
            listeners=listeners,
            table=table.state(),
            bans=table.bans.since,
            request_ids=tuple(exchange.request_ids),
            attempts=tuple(AttemptsOut(table.ids.name(worker), out) for worker, out in out_at),
            learnt=from_policy(exchange.memory()),
            with_peers=with_peers,
        )

    def release_listeners(self, message: TakeoverAccepted, descriptors: list[int]) -> None:
        """Accepts no more: the new process has taken the listeners."""
        parts = self._parts
        self.handed_over = True
        self._shared = [name for name in message.listeners if name in parts.listeners]
        for name in self._shared:
            parts.listeners[name].set_passive(True)
        if parts.peers is not None:  # the next one speaks for both
            parts.peers.pause()
        parts.workers.share_connections(True)
        parts.log("another process has taken over; this one serves the clients that it has")
        self._channel.send(ListenersReleased(self._connections()))
        self._lends = message.takes_parked
        for name in self._shared:
            parts.listeners[name].parking.on_park = self._lend_batch
        self._lend_batch()

    def _lend_batch(self) -> None:
        """Sends the next batch of parked connections, unless one is on its way."""
        if not self._lends or self._lending or not self._channel.connected:
            return
        for name in self._shared:
            listener = self._parts.listeners[name]
            if batch := listener.parking.lend(BATCH):
                self._lending = True
                self._send_batch(name, listener, batch)
                return

    def _send_batch(self, name: str, listener: Listener, batch: list[tuple[int, float]]) -> None:
        keys = [descriptor for descriptor, _ in batch]
        copies = listener.idling.copies
        message = ParkedBatch(
            listener=name,
            since=tuple(since for _, since in batch),
            keys=tuple(keys) if copies else (),
            connections=self._connections(),
        )
        try:
            self._channel.send(message, keys)
        except OSError as error:  # descriptors are short: they go one by one at the end
            self._parts.log(f"parked connections cannot be passed on in batches: {error}")
            self._lends = self._lending = False
            listener.parking.take_back(keys)
            return
        if not copies:
            listener.parking.close_lent(keys)

    def batch_taken(self, message: ParkedBatchTaken, descriptors: list[int]) -> None:
        """A batch has come to the new process."""
        self._lending = False
        self._parts.listeners[message.listener].parking.take_back(list(message.refused))
        if message.refused:  # asked again and again, a full listener would have no time for anything else
            self._lends = False
        else:
            self._lend_batch()

    def parked_departed(self, message: ParkedDeparted, descriptors: list[int]) -> None:
        """Parked connections of which there are copies here are the new process's alone."""
        self._parts.listeners[message.listener].parking.close_lent(list(message.keys))

    def pass_clients(self, listeners: list[str]) -> None:
        """Passes clients' connections on from now on, as soon as nothing is owed on them."""
        for name in listeners:
            if self.handed_over and name in self._shared:
                self._parts.listeners[name].successor = partial(self._pass_connection, name)

    def _pass_connection(self, name: str, detach: Detach) -> bool:
        # Sent to a process that stands still, it would wait with nobody reading it; there is a next time.
        if not self.flushed or (detached := detach()) is None:
            return False
        state = detached.state
        message = ConnectionPassed(name, state.proven, state.since, state.begun, self._connections())
        self._channel.send(message, [detached.descriptor])
        os.close(detached.descriptor)
        return True

    def _connections(self) -> dict[str, int]:
        return {name: self._parts.listeners[name].connections for name in self._shared}

    def take_back(self) -> bool:
        """The new process is gone; gives whether it had taken over."""
        was_handed_over, self.handed_over = self.handed_over, False
        self._lends = self._lending = False
        return was_handed_over
