"""One process's end of a handover, in either role.

Messages between the old process (left) and the new one (right), and when they are sent:

    <── TakeoverRequest          once, at the start of the new process
    ──> DispatcherState
    <── TakeoverAccepted
    ──> ListenersReleased
    ──> ParkedBatch              repeatedly, while the old process has parked connections
    <── ParkedBatchResult
    <── ConnectionsUnparked      when copies of connections at the old process have to be closed
    <─> LoadChanged, BanChanged  on each change at either process, from `DispatcherState` on
    ──> ConnectionPassed         when the old process shuts down

A process that receives the link of a further new process during a handover answers with `TakeoverDelayed`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from eiderfield.net.clients import Listener
from eiderfield.net.clock import WallClock
from eiderfield.net.handover.channel import Channel
from eiderfield.net.handover.codec import Codec
from eiderfield.net.handover.context import HandoverContext
from eiderfield.net.handover.load_updates import LoadUpdates
from eiderfield.net.handover.messages import (
    BanChanged,
    ConnectionPassed,
    ConnectionsUnparked,
    DispatcherState,
    ListenersReleased,
    LoadChanged,
    Message,
    ParkedBatch,
    ParkedBatchResult,
    TakeoverAccepted,
    TakeoverDelayed,
    TakeoverRequest,
)
from eiderfield.net.handover.new_process import NewProcess
from eiderfield.net.handover.old_process import OldProcess
from eiderfield.net.link import Link, close_descriptors
from eiderfield.net.peers import PeerPort


@dataclass(slots=True)
class _WaitingProcess:
    """A further new process, which waits until the present handover has ended."""

    link: Link
    received: list[dict[str, Any]] = field(default_factory=list)  # messages in wire form, not handled yet

    def receive(self, fields: dict[str, Any], descriptors: list[int]) -> None:
        """Store a message until the process is attached."""
        self.received.append(fields)
        close_descriptors(descriptors)


class Handover:
    """This process's end of the handovers from its predecessor and to its successor.

    Attributes:
        on_successor_lost: Called when the link to a successor that had taken over is lost.
    """

    def __init__(self, context: HandoverContext, wall: WallClock | None = None) -> None:
        """Create an end without a link; without `wall`, times of the process's clock are Unix times."""
        self.on_successor_lost: Callable[[], None] = lambda: None
        self._context = context
        self._wall = wall or WallClock(context.clock, context.clock)
        self._channel = Channel(self._new_codec, context.log)
        self._channel.receive = self._handle_message
        self._channel.on_lost = self._handle_link_loss
        self._updates = LoadUpdates(context.table.ids, context.timers, context.clock, self._channel.send)
        self._old_process = OldProcess(context, self._channel, self._share_updates)
        self._new_process = NewProcess(context, self._channel, self._share_updates)
        self._waiting: _WaitingProcess | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            TakeoverRequest: self._old_process.send_state,
            TakeoverAccepted: self._old_process.release_listeners,
            ParkedBatchResult: self._old_process.handle_batch_result,
            ConnectionsUnparked: self._old_process.close_unparked_copies,
            TakeoverDelayed: self._new_process.extend_timeout,
            ListenersReleased: self._new_process.start_accepting,
            LoadChanged: self._apply_load_change,
            BanChanged: self._apply_ban_change,
        }
        self._descriptor_handlers: dict[type, Callable[[Any, list[int]], None]] = {
            DispatcherState: self._new_process.adopt_state,
            ParkedBatch: self._new_process.adopt_parked,
            ConnectionPassed: self._new_process.adopt_connection,
        }

    @property
    def peers(self) -> PeerPort | None:
        """The port for messages of other dispatchers, whose socket is handed over too."""
        return self._context.peers

    @peers.setter
    def peers(self, peers: PeerPort | None) -> None:
        self._context.peers = peers

    @property
    def listeners(self) -> Mapping[str, Listener]:
        """The listeners to be handed over, by name."""
        return self._context.listeners

    @property
    def handed_over(self) -> bool:
        """Whether another process has taken over from this one."""
        return self._old_process.handed_over

    @property
    def flushed(self) -> bool:
        """Whether nothing is waiting to be sent to, or to be answered by, the new process."""
        return self._old_process.flushed

    def take_over(self, link: Link, on_finished: Callable[[], None]) -> None:
        """Take over from the process at the other end of `link`.

        `on_finished` is called once, after success or failure.
        """
        self._channel.attach(link)
        self._new_process.request_takeover(on_finished)

    def accept(self, link: Link) -> None:
        """Accept the link of a new process.

        During another handover, one further process may wait until it has ended; links of others are closed.
        """
        if not self._channel.connected:
            self._channel.attach(link)
        elif self._waiting is not None:
            link.close()
        else:
            self._waiting = _WaitingProcess(link)
            link.on_message = self._waiting.receive
            link.on_lost = self._forget_waiting
            link.send(self._new_codec().encode(TakeoverDelayed()))

    def pass_clients(self, listeners: list[str]) -> None:
        """Start passing client connections to the new process, each once no response is pending on it."""
        self._old_process.pass_clients(listeners)

    def pass_idle_clients(self) -> None:
        """Pass a bounded number of the client connections that can be passed now."""
        for listener in self.listeners.values():
            listener.hand_over_batch()

    def close(self) -> None:
        """Close all links."""
        self._channel.close()
        if self._waiting is not None:
            self._waiting.link.close()
            self._waiting = None

    def _new_codec(self) -> Codec:
        return Codec(self._context.clock, self._wall, self._context.log)

    def _handle_message(self, message: Message, descriptors: list[int]) -> None:
        message_type = type(message)
        if message_type in self._descriptor_handlers:
            self._descriptor_handlers[message_type](message, descriptors)
        else:
            self._handlers[message_type](message)

    def _forget_waiting(self) -> None:
        self._waiting = None

    def _attach_waiting(self) -> None:
        if self._waiting is None:
            return
        waiting, self._waiting = self._waiting, None
        self._channel.attach(waiting.link)
        for fields in waiting.received:
            self._channel.receive_fields(fields, [])

    def _share_updates(self) -> None:
        self._context.exchange.other_process.attach(self._updates)
        self._context.table.on_ban_changed = self._send_ban

    def _send_ban(self, worker: str, since: float | None) -> None:
        self._channel.send(BanChanged(worker, since))

    def _apply_load_change(self, message: LoadChanged) -> None:
        exchange, ids = self._context.exchange, self._context.table.ids
        taken = [id_ for id_, is_taken in message.request_ids.items() if is_taken]
        released = [id_ for id_, is_taken in message.request_ids.items() if not is_taken]
        exchange.other_process.update_request_ids(taken, released)
        for attempts in message.attempts:
            worker = ids.worker(attempts.worker)
            exchange.other_process.update_attempts(worker, attempts.count, attempts.work)

    def _apply_ban_change(self, message: BanChanged) -> None:
        self._context.table.apply_ban(message.worker, message.since)

    def _handle_link_loss(self) -> None:
        """Continue without the other process: its link was lost, or one of its messages was rejected."""
        context = self._context
        had_handed_over = self._old_process.resume_alone()
        context.exchange.other_process.detach()
        context.table.on_ban_changed = None
        context.workers.share_connections(False)
        for listener in self.listeners.values():
            _make_independent(listener)
        self._new_process.finish()
        if had_handed_over:
            context.log("handover: successor lost, accepting clients again")
            self.on_successor_lost()
        self._attach_waiting()


def _make_independent(listener: Listener) -> None:
    """Let a listener serve and park clients without another process."""
    listener.successor = None
    listener.held_by_other_process = 0
    listener.parking.on_park = _ignore_report
    listener.parking.on_borrowed_removed = _ignore_report
    listener.parking.forget_lender()
    listener.parking.take_back_all()
    if listener.passive:
        listener.set_passive(False)


def _ignore_report(*_arguments: object) -> None:
    """Ignore a report that a listener addresses to another process."""
