"""How one process of a dispatcher hands over to the next, and what the two tell each other meanwhile.

The new process asks, the old one answers with its state and its listening sockets, the new one says that it
has taken them, and the old one stops accepting. From its answer on, the old one tells what changes, and so
does the new one: ids, legs, bans. Parked connections follow in batches, each when the one before has been
taken; the old process may keep copies of them until it ends (`eiderfield/crowd/lot.py`). At its end it
gives away the connections that it still has.

    ask -> state -> taken -> yours        once
    parked -> got                         a batch and what of it was not taken; repeated while there are any
    departed <-                           lent connections that only the new process has from now on
    news, ban <->                         whenever there is any
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from eiderfield.exchange import Exchange, Timer, Timers
from eiderfield.net.clients import Given, Letting, Listener
from eiderfield.net.link import Link, close_all
from eiderfield.net.peers import Peers
from eiderfield.net.routing import RoutingTable
from eiderfield.net.worker import WorkerSide

FORM = 1  # of the messages; a process that speaks another is no peer
PATIENCE = 1500.0  # ms for which a new process waits for the old one before it starts by itself
BATCH = 100  # parked connections in a message: about 1 ms of work on either side
LONGER = 5000.0  # the same where the old one says that the one before it is still ending


class Handover:
    """This process's end, whichever of the two it is."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, exchange: Exchange, table: RoutingTable, workers: WorkerSide,
        listeners: Mapping[str, Listener], timers: Timers, clock: Callable[[], float],
        log: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.given = False  # whether another process has taken over from this one
        self.lost: Callable[[], None] = lambda: None  # called when that process is gone
        self._loop = loop
        self._exchange = exchange
        self._table = table
        self._workers = workers
        self.listeners = listeners
        self._timers = timers
        self._clock = clock
        self._log = log
        self.peers: Peers | None = None  # the port to the other dispatchers, which passes on too
        self._link: Link | None = None
        self._next: tuple[Link, list[dict[str, Any]]] | None = None  # who waits, and what it said
        self._done: Callable[[], None] = lambda: None
        self._timer: Timer | None = None
        self._shared: list[str] = []  # the listeners that both processes have
        self._ids: dict[str, bool] = {}  # what is to be told: ids that came, or went
        self._legs: dict[int, list[float]] = {}  # legs out at workers, and the work sent there
        self._telling = False
        self._takers: dict[str, Callable[[dict[str, Any], list[int]], None]] = {
            "ask": self._asked, "state": self._state, "taken": self._taken, "yours": self._yours,
            "news": self._news, "ban": self._ban, "client": self._client, "wait": self._wait,
            "parked": self._parked, "got": self._got, "departed": self._departed,
        }  # fmt: skip
        self._lends = False  # whether the new process takes batches
        self._lending = False  # whether a batch is on its way

    @property
    def flushed(self) -> bool:
        """Whether the other process has been sent all that it is owed."""
        return self._link is None or (self._link.flushed and not self._lending)

    # The new process.

    def ask(self, link: Link, done: Callable[[], None]) -> None:
        """Takes over from the process at the other end. `done` is called once that is over, well or not."""
        self._done = done
        self._attach(link)
        self._timer = self._timers.at(self._clock() + PATIENCE, self._impatient)
        self._send({"is": "ask", "form": FORM, "peers": self.peers is not None})

    def _wait(self, told: dict[str, Any], fds: list[int]) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = self._timers.at(self._clock() + LONGER, self._impatient)

    def _impatient(self) -> None:
        self._log("the process before says nothing: this one starts beside it")
        self._end()

    def _state(self, told: dict[str, Any], fds: list[int]) -> None:
        if told.get("peers") is True:
            sock = socket.socket(fileno=fds.pop())
            if self.peers is not None:
                self.peers.open(sock)
                self.peers.rest(True)  # until the old one has let go of it
            else:
                sock.close()
        for name, fd in zip(told["doors"], fds, strict=True):
            sock = socket.socket(fileno=fd)
            if name in self.listeners and not self.listeners[name].listening:
                self.listeners[name].adopt(self._loop, sock)
                self.listeners[name].rest(True)  # until the old one has let go of it
                self._shared.append(name)
            else:
                sock.close()
        fds.clear()
        self._table.take_over(told["table"], told["bans"])
        self._exchange.ids_beside(told["ids"], ())
        for name, out in told["legs"]:
            self._exchange.legs_beside(self._table.ids.worker(name), int(out), 0.0)
        self._exchange.resume(told["memory"], self._clock())
        self._tell_from_now_on()
        for name in self._shared:
            self.listeners[name].departs = partial(self._tell_departed, name)
        self._send({"is": "taken", "doors": self._shared, "parks": True})

    def _yours(self, told: dict[str, Any], fds: list[int]) -> None:
        self._count(told)
        self._workers.share(True)
        if self.peers is not None:
            self.peers.rest(False)
        for name in self._shared:
            self.listeners[name].rest(False)
        self._finish()

    def _parked(self, told: dict[str, Any], fds: list[int]) -> None:
        """A batch of parked connections. What this process has no room for goes back."""
        self._count(told)
        name, keys = str(told["door"]), told["keys"]
        refused = []
        for number, since in enumerate(told["since"]):
            key = int(keys[number]) if keys else None
            if self.listeners[name].borrow(fds[number], float(since), key):
                fds[number] = -1
            elif key is not None:
                refused.append(key)
        self._send({"is": "got", "door": name, "refused": refused})

    def _tell_departed(self, name: str, keys: list[int]) -> None:
        self._send({"is": "departed", "door": name, "keys": keys})

    def _client(self, told: dict[str, Any], fds: list[int]) -> None:
        self._count(told)
        [fd] = fds
        fds.clear()
        sock = socket.socket(fileno=fd)
        begun = str(told["begun"]).encode("latin-1")
        self.listeners[told["door"]].admit(sock, Given(bool(told["proven"]), float(told["since"]), begun))

    def _count(self, told: dict[str, Any]) -> None:
        """How many connections the old process still has count within what this one may have."""
        for name, connections in told["open"].items():
            if name in self.listeners:
                self.listeners[name].beside = int(connections)

    def _finish(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        done, self._done = self._done, lambda: None
        done()

    # The old process.

    def heard(self, link: Link) -> None:
        """Another process is there. It waits while the one before this one, or after it, is not done."""
        if self._link is None:
            self._attach(link)
        elif self._next is not None:
            link.close()
        else:
            said: list[dict[str, Any]] = []
            link.receive = partial(_keep, said)
            link.lost = self._forget_next
            self._next = (link, said)
            link.send({"is": "wait"})

    def _forget_next(self) -> None:
        self._next = None

    def _attach_next(self) -> None:
        if self._next is not None:
            (link, said), self._next = self._next, None
            self._attach(link)
            for told in said:
                self._receive(told, [])

    def _asked(self, told: dict[str, Any], fds: list[int]) -> None:
        if told["form"] != FORM:
            raise ValueError("the other process speaks another form")
        sockets = {name: listener.fd for name, listener in self.listeners.items() if listener.fd is not None}
        ids = self._table.ids
        state: dict[str, Any] = {
            "is": "state", "doors": list(sockets), "table": self._table.told(),
            "bans": self._table.bans.told(), "ids": self._exchange.ids, "memory": self._exchange.memory(),
            "legs": [[ids.name(worker), out] for worker, out in self._exchange.out_at.items()],
        }  # fmt: skip
        fds = list(sockets.values())
        if told.get("peers") is True and self.peers is not None and self.peers.sock is not None:
            state["peers"] = True
            fds.append(self.peers.sock.fileno())
        self._tell_from_now_on()
        self._send(state, fds)

    def _taken(self, told: dict[str, Any], fds: list[int]) -> None:
        self.given = True
        self._shared = [name for name in told["doors"] if name in self.listeners]
        for name in self._shared:
            self.listeners[name].rest(True)
        if self.peers is not None:  # the next one speaks for both
            self.peers.rest(True)
        self._workers.share(True)
        self._log("another process has taken over; this one serves the clients that it has")
        self._send({"is": "yours", "open": self._open()})
        self._lends = told.get("parks") is True
        for name in self._shared:
            self.listeners[name].parks = self._lend
        self._lend()

    def _lend(self) -> None:
        """Sends the next batch of parked connections, unless one is on its way."""
        if not self._lends or self._lending or self._link is None:
            return
        for name in self._shared:
            listener = self.listeners[name]
            if batch := listener.lend(BATCH):
                self._lending = True
                keys = [fd for fd, _ in batch]
                told = {
                    "is": "parked", "door": name, "since": [since for _, since in batch],
                    "open": self._open(), "keys": keys if listener.idling.copies else [],
                }  # fmt: skip
                try:
                    self._send(told, keys)
                except OSError as error:  # descriptors are short: they go one by one at the end
                    self._log(f"parked connections cannot be passed on in batches: {error}")
                    self._lends = self._lending = False
                    listener.lent_is_refused(keys)
                    return
                if not listener.idling.copies:
                    listener.lent_departs(keys)
                return

    def _got(self, told: dict[str, Any], fds: list[int]) -> None:
        self._lending = False
        refused = [int(key) for key in told["refused"]]
        self.listeners[str(told["door"])].lent_is_refused(refused)
        if refused:  # asked again and again, a full house would have no time for anything else
            self._lends = False
        else:
            self._lend()

    def _departed(self, told: dict[str, Any], fds: list[int]) -> None:
        self.listeners[str(told["door"])].lent_departs([int(key) for key in told["keys"]])

    def leave(self, listeners: list[str]) -> None:
        """The end has come: clients' connections are given away as soon as nothing is owed on them."""
        for name in listeners:
            if self.given and name in self._shared:
                self.listeners[name].heir = partial(self._give, name)

    def look(self) -> None:
        """Gives away what can be given now."""
        for listener in self.listeners.values():
            listener.pass_some()

    def close(self) -> None:
        """Ends the link: all has been told."""
        if self._link is not None:
            self._link.close()
            self._link = None

    def close_all(self) -> None:
        """Ends every link."""
        self.close()
        if self._next is not None:
            self._next[0].close()
            self._next = None

    def _give(self, name: str, let_go: Letting) -> bool:
        # Given to a link that stands still, it would wait with nobody reading it; there will be another look.
        if not self.flushed or (gift := let_go()) is None:
            return False
        fd, given = gift
        told = {
            "is": "client", "door": name, "proven": given.proven, "since": given.since,
            "begun": given.begun.decode("latin-1"), "open": self._open(),
        }  # fmt: skip
        self._send(told, [fd])
        os.close(fd)
        return True

    def _open(self) -> dict[str, int]:
        return {name: self.listeners[name].connections for name in self._shared}

    # Both.

    def came(self, id_: str) -> None:
        """A job of this id has been taken."""
        self._ids[id_] = True
        self._tell_soon()

    def went(self, id_: str) -> None:
        """The id is free again."""
        self._ids[id_] = False
        self._tell_soon()

    def legs(self, worker: int, out: int, work: float) -> None:
        """How many legs are out at a worker now, and the work that was just sent there."""
        sent = self._legs[worker][1] if worker in self._legs else 0.0
        self._legs[worker] = [out, sent + work]
        self._tell_soon()

    def _tell_from_now_on(self) -> None:
        self._exchange.witness = self
        self._table.ruled = lambda name, since: self._send({"is": "ban", "worker": name, "since": since})

    def _tell_soon(self) -> None:
        if not self._telling:
            self._telling = True
            self._timers.at(self._clock(), self._tell)

    def _tell(self) -> None:
        self._telling = False
        ids, self._ids = self._ids, {}
        legs, self._legs = self._legs, {}
        told = [[self._table.ids.name(worker), *figures] for worker, figures in legs.items()]
        self._send({"is": "news", "ids": ids, "legs": told})

    def _news(self, told: dict[str, Any], fds: list[int]) -> None:
        ids = told["ids"].items()
        self._exchange.ids_beside([i for i, came in ids if came], [i for i, came in ids if not came])
        for name, out, work in told["legs"]:
            self._exchange.legs_beside(self._table.ids.worker(str(name)), int(out), float(work))

    def _ban(self, told: dict[str, Any], fds: list[int]) -> None:
        since = told["since"]
        self._table.heed(str(told["worker"]), None if since is None else float(since))

    def _attach(self, link: Link) -> None:
        self._link = link
        link.receive = self._receive
        link.lost = self._end

    def _send(self, told: dict[str, Any], fds: list[int] | None = None) -> None:
        if self._link is not None:
            self._link.send(told, fds or [])

    def _receive(self, told: dict[str, Any], fds: list[int]) -> None:
        try:
            self._takers[told["is"]](told, fds)
        except (KeyError, TypeError, ValueError, AttributeError, OSError) as error:
            # A peer that speaks in riddles is none; both serve on by themselves.
            self._log(f"what the other process says cannot be read: {error!r}")
            self._end()
        finally:
            close_all(fds)

    def _end(self) -> None:
        """The other process is gone, or of no use: this one is alone."""
        if self._link is None:
            return
        self.close()
        was_given, self.given = self.given, False
        self._lends = self._lending = False
        self._exchange.alone()
        self._table.ruled = lambda name, since: None
        self._workers.share(False)
        for listener in self.listeners.values():
            listener.heir = None
            listener.beside = 0
            listener.parks = _nothing
            listener.departs = _nothing
            listener.own()
            listener.lent_returns()
            if listener.resting:
                listener.rest(False)
        self._finish()
        if was_given:
            self._log("the process that took over is gone; this one takes clients again")
            self.lost()
        self._attach_next()


def _nothing(*told: object) -> None:
    """What a listener tells nobody."""


def _keep(said: list[dict[str, Any]], told: dict[str, Any], fds: list[int]) -> None:
    said.append(told)
    close_all(fds)
