"""The old process's role in a handover: it sends its state and listeners, then its client connections.

    serving ──(takeover request)──> state sent ──(takeover accepted)──> handed over ──(no clients)──> ended
                                        └──(link lost)──> serving

After the handover the old process sends its parked connections in batches, one batch at a time: the next one
is sent when the new process has answered the last one. The old process may keep copies of their descriptors
until it ends. When it shuts down, it passes the remaining connections one by one.

Invariants: the two processes never read the same connection, and no connection is passed while a response on
it is pending.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial

from eiderfield.connections.idle_connections import LentConnection
from eiderfield.net.clients import Detach, Listener
from eiderfield.net.handover.channel import Channel
from eiderfield.net.handover.context import HandoverContext
from eiderfield.net.handover.errors import UnsupportedVersionError
from eiderfield.net.handover.learned_names import names_of
from eiderfield.net.handover.messages import (
    PROTOCOL_VERSION,
    ConnectionPassed,
    ConnectionsUnparked,
    DispatcherState,
    ListenersReleased,
    OpenAttempts,
    ParkedBatch,
    ParkedBatchResult,
    TakeoverAccepted,
    TakeoverRequest,
)

MAX_PARKED_BATCH = 100  # connections per message, which take either process about 1 ms


class OldProcess:
    """Hands over to the process at the other end of the channel."""

    def __init__(self, context: HandoverContext, channel: Channel, share_updates: Callable[[], None]) -> None:
        """Create the role.

        Args:
            context: The parts of the dispatcher that take part in the handover.
            channel: The channel to the new process.
            share_updates: Called to start sending this process's changes of load and bans.
        """
        self.handed_over = False
        self._context = context
        self._channel = channel
        self._share_updates = share_updates
        self._shared_listeners: list[str] = []  # names of the listeners that the new process has adopted
        self._sends_batches = False  # whether parked connections are sent in batches
        self._batch_pending = False  # whether the new process has not answered the last batch yet

    @property
    def flushed(self) -> bool:
        """Whether no message is waiting to be sent, and no batch to be answered."""
        return not self._channel.connected or (self._channel.flushed and not self._batch_pending)

    def send_state(self, request: TakeoverRequest) -> None:
        """Answer a takeover request; raises `UnsupportedVersionError`."""
        if request.version != PROTOCOL_VERSION:
            raise UnsupportedVersionError(request.version, PROTOCOL_VERSION)
        context = self._context
        sockets = {
            name: listener.fd for name, listener in context.listeners.items() if listener.fd is not None
        }
        descriptors = list(sockets.values())
        peers_socket = context.peers.sock if context.peers is not None and request.with_peers else None
        if peers_socket is not None:
            descriptors.append(peers_socket.fileno())
        state = self._dispatcher_state(tuple(sockets), with_peers=peers_socket is not None)
        self._share_updates()
        self._channel.send(state, descriptors)

    def _dispatcher_state(self, listeners: tuple[str, ...], with_peers: bool) -> DispatcherState:
        exchange, table = self._context.exchange, self._context.table
        open_attempts = exchange.open_attempts_per_worker.items()
        learned = exchange.learned_state()
        return DispatcherState(
            listeners=listeners,
            table=table.state(),
            bans=table.bans.since,
            request_ids=tuple(exchange.request_ids),
            attempts=tuple(
                OpenAttempts(table.ids.worker_name(worker), count) for worker, count in open_attempts
            ),
            learned=learned,
            with_peers=with_peers,
            names=names_of(learned, exchange, table.ids),
        )

    def release_listeners(self, message: TakeoverAccepted) -> None:
        """Stop accepting: the new process has adopted the listeners."""
        context = self._context
        self.handed_over = True
        self._shared_listeners = [name for name in message.listeners if name in context.listeners]
        for name in self._shared_listeners:
            context.listeners[name].set_passive(True)
        if context.peers is not None:  # the new process uses the socket for both processes
            context.peers.pause()
        context.workers.share_connections(True)
        context.log(
            f"handover: taken over, serving remaining clients (listeners={len(self._shared_listeners)})"
        )
        self._channel.send(ListenersReleased(self._connection_counts()))
        self._sends_batches = message.accepts_parked_batches
        for name in self._shared_listeners:
            context.listeners[name].parking.on_park = self._send_next_batch
        self._send_next_batch()

    def _send_next_batch(self) -> None:
        """Send the next batch of parked connections, unless one is pending."""
        if not self._sends_batches or self._batch_pending or not self._channel.connected:
            return
        for name in self._shared_listeners:
            listener = self._context.listeners[name]
            if batch := listener.parking.lend(MAX_PARKED_BATCH):
                self._batch_pending = True
                self._send_batch(name, listener, batch)
                return

    def _send_batch(self, name: str, listener: Listener, batch: list[LentConnection]) -> None:
        descriptors = [descriptor for descriptor, _ in batch]
        keeps_copies = listener.idle_settings.keep_copies
        message = ParkedBatch(
            listener=name,
            since=tuple(since for _, since in batch),
            keys=tuple(descriptors) if keeps_copies else (),
            connection_counts=self._connection_counts(),
        )
        try:
            self._channel.send(message, descriptors)
        except OSError as error:  # too few descriptors: `pass_clients` passes the connections one by one
            self._context.log(f"handover: parked connections not passed in batches (error={error})")
            self._sends_batches = self._batch_pending = False
            listener.parking.take_back(descriptors)
            return
        if not keeps_copies:
            listener.parking.close_lent(descriptors)

    def handle_batch_result(self, message: ParkedBatchResult) -> None:
        """Take back the refused connections of a batch, or send the next batch if none was refused."""
        self._batch_pending = False
        self._context.listeners[message.listener].parking.take_back(list(message.refused))
        if message.refused:  # the new process's listener is full and would refuse further batches as well
            self._sends_batches = False
        else:
            self._send_next_batch()

    def close_unparked_copies(self, message: ConnectionsUnparked) -> None:
        """Close the copies of connections that are no longer parked at the new process."""
        self._context.listeners[message.listener].parking.close_lent(list(message.keys))

    def pass_clients(self, listeners: list[str]) -> None:
        """Start passing client connections to the new process, each once no response is pending on it."""
        for name in listeners:
            if self.handed_over and name in self._shared_listeners:
                self._context.listeners[name].successor = partial(self._pass_connection, name)

    def _pass_connection(self, name: str, detach: Detach) -> bool:
        # A new process that has stopped reading would not serve the client. The listener tries again later.
        if not self.flushed or (detached := detach()) is None:
            return False
        state = detached.state
        message = ConnectionPassed(
            listener=name,
            proven=state.proven,
            since=state.since,
            buffered=state.buffered,
            connection_counts=self._connection_counts(),
        )
        self._channel.send(message, [detached.descriptor])
        os.close(detached.descriptor)
        return True

    def _connection_counts(self) -> dict[str, int]:
        return {name: self._context.listeners[name].connections for name in self._shared_listeners}

    def resume_alone(self) -> bool:
        """Reset the role after the loss of the new process; return whether that process had taken over."""
        was_handed_over, self.handed_over = self.handed_over, False
        self._sends_batches = self._batch_pending = False
        return was_handed_over
