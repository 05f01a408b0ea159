"""One process of a dispatcher in a handover, whichever of the two it is.

    request -> state -> accepted -> released    once
    parked batch -> batch taken                 repeated while there are any
    departed <-                                 parked connections that only the new process has from now on
    load changed, ban changed <->               whenever there is any
    connection passed ->                        at the old process's end

From its answer on, the old process tells what changes, and so does the new one: request ids, attempts, bans.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.timers import Timers
from eiderfield.net.clients import Listener
from eiderfield.net.clock import WallClock
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.handover.channel import Channel
from eiderfield.net.handover.codec import Codec
from eiderfield.net.handover.load_updates import LoadUpdates
from eiderfield.net.handover.messages import (
    BanChanged,
    ConnectionPassed,
    DispatcherState,
    ListenersReleased,
    LoadChanged,
    Message,
    ParkedBatch,
    ParkedBatchTaken,
    ParkedDeparted,
    TakeoverAccepted,
    TakeoverDelayed,
    TakeoverRequest,
)
from eiderfield.net.handover.new_process import NewProcess
from eiderfield.net.handover.old_process import OldProcess
from eiderfield.net.handover.parts import Parts
from eiderfield.net.link import Link, close_all
from eiderfield.net.peers import PeerPort
from eiderfield.net.worker_pool import WorkerPool


class Handover:
    """This process's end of a handover, to the process before it and to the one after it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        exchange: Exchange,
        table: RoutingTable,
        workers: WorkerPool,
        listeners: Mapping[str, Listener],
        timers: Timers,
        clock: Callable[[], float],
        log: Callable[[str], None],
        wall: WallClock | None = None,
    ) -> None:
        """`listeners` are those that pass on, by names that both processes know."""
        self.successor_lost: Callable[[], None] = lambda: None  # the process that took over is gone
        self._parts = Parts(loop, exchange, table, workers, listeners, timers, clock, log)
        self._wall = wall or WallClock(clock, clock)
        self._channel = Channel(self._new_codec, log)
        self._channel.receive = self._dispatch
        self._channel.lost = self._link_lost
        self._updates = LoadUpdates(table.ids, timers, clock, self._channel.send)
        self._old = OldProcess(self._parts, self._channel, self._share_updates)
        self._new = NewProcess(self._parts, self._channel, self._share_updates)
        self._waiting: tuple[Link, list[dict[str, Any]]] | None = None  # a further process, and what it said
        self._handlers: dict[type, Callable[[Any, list[int]], None]] = {
            TakeoverRequest: self._old.send_state,
            TakeoverAccepted: self._old.release_listeners,
            ParkedBatchTaken: self._old.batch_taken,
            ParkedDeparted: self._old.parked_departed,
            TakeoverDelayed: self._new.delayed,
            DispatcherState: self._new.take_state,
            ListenersReleased: self._new.take_listeners,
            ParkedBatch: self._new.take_parked,
            ConnectionPassed: self._new.take_connection,
            LoadChanged: self._load_changed,
            BanChanged: self._ban_changed,
        }

    @property
    def peers(self) -> PeerPort | None:
        """The port to other dispatchers, which passes on too."""
        return self._parts.peers

    @peers.setter
    def peers(self, peers: PeerPort | None) -> None:
        self._parts.peers = peers

    @property
    def listeners(self) -> Mapping[str, Listener]:
        """The listeners that pass on, by name."""
        return self._parts.listeners

    @property
    def handed_over(self) -> bool:
        """Whether another process has taken over from this one."""
        return self._old.handed_over

    @property
    def flushed(self) -> bool:
        """Whether the other process has been sent all that it is owed."""
        return self._old.flushed

    def take_over(self, link: Link, finished: Callable[[], None]) -> None:
        """Takes over from the process at the other end.

        `finished` is called once that is over, well or not."""
        self._channel.attach(link)
        self._new.ask(finished)

    def accept(self, link: Link) -> None:
        """Another process is there. It waits while a handover before its own is not over."""
        if not self._channel.connected:
            self._channel.attach(link)
        elif self._waiting is not None:
            link.close()
        else:
            received: list[dict[str, Any]] = []
            link.receive = partial(_keep, received)
            link.lost = self._forget_waiting
            self._waiting = (link, received)
            link.send(self._new_codec().encode(TakeoverDelayed()))

    def pass_clients(self, listeners: list[str]) -> None:
        """The end has come: clients' connections are passed on as soon as nothing is owed on them."""
        self._old.pass_clients(listeners)

    def pass_idle_clients(self) -> None:
        """Passes on the clients' connections that can be passed on now."""
        for listener in self.listeners.values():
            listener.hand_over_some()

    def close(self) -> None:
        """Ends every link: all has been told."""
        self._channel.close()
        if self._waiting is not None:
            self._waiting[0].close()
            self._waiting = None

    def _new_codec(self) -> Codec:
        return Codec(self._parts.clock, self._wall, self._parts.log)

    def _dispatch(self, message: Message, descriptors: list[int]) -> None:
        self._handlers[type(message)](message, descriptors)

    def _forget_waiting(self) -> None:
        self._waiting = None

    def _attach_waiting(self) -> None:
        if self._waiting is None:
            return
        (link, received), self._waiting = self._waiting, None
        self._channel.attach(link)
        for fields in received:
            self._channel.receive_fields(fields, [])

    def _share_updates(self) -> None:
        self._parts.exchange.other_process = self._updates
        self._parts.table.on_ban = self._tell_ban

    def _tell_ban(self, name: str, since: float | None) -> None:
        self._channel.send(BanChanged(name, since))

    def _load_changed(self, message: LoadChanged, descriptors: list[int]) -> None:
        exchange, ids = self._parts.exchange, self._parts.table.ids
        taken = [id_ for id_, is_taken in message.request_ids.items() if is_taken]
        freed = [id_ for id_, is_taken in message.request_ids.items() if not is_taken]
        exchange.update_other_process_ids(taken, freed)
        for attempts in message.attempts:
            exchange.update_other_process_attempts(ids.worker(attempts.worker), attempts.out, attempts.work)

    def _ban_changed(self, message: BanChanged, descriptors: list[int]) -> None:
        self._parts.table.apply_ban(message.worker, message.since)

    def _link_lost(self) -> None:
        """The other process is gone, or of no use: this one is alone."""
        parts = self._parts
        had_handed_over = self._old.take_back()
        parts.exchange.other_process_ended()
        parts.table.on_ban = lambda name, since: None
        parts.workers.share_connections(False)
        for listener in self.listeners.values():
            _make_independent(listener)
        self._new.finish()
        if had_handed_over:
            parts.log("the process that took over is gone; this one takes clients again")
            self.successor_lost()
        self._attach_waiting()


def _make_independent(listener: Listener) -> None:
    """Lets a listener go on without another process."""
    listener.successor = None
    listener.held_by_other_process = 0
    listener.parking.on_park = _do_nothing
    listener.parking.on_departure = _do_nothing
    listener.parking.forget_lender()
    listener.parking.take_back_all()
    if listener.passive:
        listener.set_passive(False)


def _do_nothing(*arguments: object) -> None:
    """What a listener reports to nobody."""


def _keep(received: list[dict[str, Any]], fields: dict[str, Any], descriptors: list[int]) -> None:
    received.append(fields)
    close_all(descriptors)
