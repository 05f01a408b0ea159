"""One dispatcher on sockets: reads its configuration, joins the parts and runs until SIGTERM.

On SIGHUP it reads the configuration again and moves to the discovery that this names.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from eiderfield.batch.front import BatchFront
from eiderfield.batch.jobs import Book
from eiderfield.config import CONSOLE, Address, Config, ConfigError, Discovery, digest_of, load, shown
from eiderfield.consul import ConsulFollower
from eiderfield.crowd.governor import Governor
from eiderfield.exchange import Exchange
from eiderfield.idmap import IdMap
from eiderfield.net.backoff import Backoff
from eiderfield.net.bans import Bans, thread_runner
from eiderfield.net.clients import Front, Listener, RequestFront
from eiderfield.net.clock import MonotonicClock, WallClock, unix_now
from eiderfield.net.console import WAIT, ConsoleFront
from eiderfield.net.descriptors import ConnectionLimits, allowed_descriptors
from eiderfield.net.ending import Ending
from eiderfield.net.handover import Handover
from eiderfield.net.link import Ear, reach
from eiderfield.net.loop import Driver
from eiderfield.net.memory import share_of
from eiderfield.net.peers import Peers
from eiderfield.net.routing import Follower, Following, RoutingTable, Watcher
from eiderfield.net.selector import new_event_loop
from eiderfield.net.worker import WorkerSide

if TYPE_CHECKING:
    from eiderfield.custody.keeper import Keeper

ASKING = 5000.0  # ms for which a start waits for discovery: half of the time in which it has to be ready
# What a reload takes up; a change of anything else is named by its key.
RELOADED = {"discovery", "known", "seed", "idling", "admission", "site", "dial_timeout", "conn_idle"}
FIXED = {
    "name": "name", "listen": "listen", "console": "console", "memory_mb": "limits.memory_mb",
    "client_connections": "limits.sockets", "worker_connections": "limits.sockets", "zones": "settings.zones",
    "kinds": "settings.kinds", "batch": "batch", "peers": "peers", "custody": "custody",
}  # fmt: skip
LOOK = 50.0  # ms between looks at what is left to do before the end


def log(text: str) -> None:
    """A line for the operators. On a full disk it is lost: what is being done must not be lost with it."""
    with suppress(OSError):
        print(f"eiderfield: {text}", file=sys.stderr, flush=True)


def state_path(listen: Address, what: str) -> Path:
    """Where the dispatcher of a clients' address keeps something that a later process is to find."""
    return Path(tempfile.gettempdir()) / f"eiderfield-{listen[0]}-{listen[1]}.{what}"


class Program:
    """The parts of one dispatcher, joined."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        wall = WallClock(clock)
        self._config = config
        self._loop = loop
        self._driver = Driver(loop, clock)
        wheel = self._driver.wheel
        ids = IdMap(config.zones, config.kinds)
        self.exchange = Exchange(config.site, config.seed, wheel, self._driver.wake, log)
        self._driver.turn = self.exchange.turn
        limits = ConnectionLimits.of(config, allowed_descriptors())
        if limits.clients < config.client_connections:
            log(
                f"the system allows fewer descriptors than limits.sockets: at most {limits.clients} "
                f"connections of clients and {limits.workers} to workers are held"
            )
        self._driver.absent = self.exchange.absent
        self.workers = WorkerSide(
            self.exchange, wheel, clock, self._driver.dial, config.dial_timeout, config.conn_idle,
            limits.workers,
        )  # fmt: skip
        in_thread = thread_runner(loop.call_soon_threadsafe)
        bans = Bans(state_path(config.listen, "bans.json"), log, wheel, clock, in_thread, wall)
        bans.read()
        self.table = RoutingTable(self.exchange, self.workers, ids, bans, clock, wall)
        if config.known is not None:
            try:
                self.table.load(config.known, cached=True)
            except ValueError as error:
                if config.discovery.kind == "static":
                    raise ConfigError(f"known: {error}") from None
                log(f"known: {error}; waiting for discovery")  # an old list is no reason not to serve
        self._following = Following()
        most = limits.clients if config.batch is None else max(1, limits.clients // 2)
        self._keeper = self._custody(config, ids)
        front = RequestFront(self.exchange, ids, clock, self._keeper)
        self._listeners = [(self._listener(front, most), config.listen)]
        console = ConsoleFront(self.exchange, self.table, clock, self._ready, self._crowd, self._running)
        self._console = Listener(console, wheel, clock, CONSOLE, WAIT)
        if config.batch is not None:
            b = config.batch
            book = Book(
                self.exchange, clock, config.name, b.jobs_most, b.finished_most, b.finished_age,
                b.bytes_most, self._keeper,
            )  # fmt: skip
            batch_front = BatchFront(book, self._keeper, wall.to_unix)
            self._listeners.append((self._listener(batch_front, most), b.listen))
        self._peers: Peers | None = None
        if (p := config.peers) is not None:
            me, said = config.site.me, self.exchange.peer_said
            self._peers = Peers(loop, p.listen, p.peers, p.everyone, me, clock, said, log, unix_now)
            self.exchange.speaker = self._peers
        self._socket = state_path(config.listen, "sock")
        named = {f"{kind} {host}:{port}": listener for kind, listener, (host, port) in self._places()}
        self._handover = Handover(
            loop, self.exchange, self.table, self.workers, named, wheel, clock, log, wall
        )  # fmt: skip
        self._handover.peers = self._peers
        self._ear = Ear(loop, self._socket, self._handover.accept)
        self._handover.successor_lost = self._listen_for_next
        self._settled = False  # whether the process before has handed over, or there is none
        self._ending = False
        self._generation = 1  # of the settings: how often any were taken
        self._refused: dict[str, object] | None = None  # those that were given last and not taken
        self.ended = asyncio.Event()

    def _listener(self, front: Front, most: int) -> Listener:
        """A listener for clients."""
        config = self._config
        listener = Listener(
            front, self._driver.wheel, self._driver.clock, most, config.admission.pace.whole, config.idling,
            Governor(config.admission, most), share_of(config.memory_mb),
        )  # fmt: skip
        listener.log = log
        return listener

    def _places(self) -> list[tuple[str, Listener, Address]]:
        """The listeners with what they are for and where they open."""
        kinds = ("listen", "batch.listen")
        pairs = zip(kinds, self._listeners, strict=False)
        places = [(kind, listener, address) for kind, (listener, address) in pairs]
        if self._config.console is not None:
            places.append(("console", self._console, self._config.console))
        return places

    async def start(self) -> None:
        """Takes over from a process that serves already, if there is one, and opens the listeners."""
        if self._keeper is not None:
            self._keeper.start()
        beside = self._socket.exists()
        if (link := reach(self._loop, self._socket)) is not None:
            done = asyncio.Event()
            self._handover.take_over(link, done.set)
            await done.wait()
        # The list may be that of the process before, whose discovery may have counted on its own.
        self._following.follow(self._follower(self._config.discovery, whole=link is not None))
        places = self._places()
        for kind, listener, address in places:
            if kind == "console" and not listener.listening:
                self._open(kind, listener, address, beside)
        if link is None:
            await self._first_list()
        if self._listeners[0][0].draining:  # told to end before it took anybody
            return
        for kind, listener, address in places:
            if not listener.listening:
                self._open(kind, listener, address, beside)
        if self._peers is not None and self._peers.sock is None:
            self._peers.open()
        self._listen_for_next()
        self._settled = True

    async def _first_list(self) -> None:
        """Waits for discovery's first list before anybody is served.

        What the agent holds counts as told from a process's first moment, and the list that the configuration
        names is as old as that. A drain binds after its grace: an agent that is silent for so long can't be
        asked, and the known list has to do. However long the grace is, a process has to be ready in time."""
        if self._config.discovery.address is None:
            return
        told = asyncio.Event()
        self.table.heard = told.set
        wait = min(self._config.site.drain_grace, ASKING)
        self._driver.wheel.at(self._driver.clock() + wait, told.set)
        await told.wait()

    def _custody(self, config: Config, ids: IdMap) -> Keeper | None:
        """Who keeps work in hand, if anybody does. What that needs is imported only where it is on."""
        if config.custody is None:
            return None
        from eiderfield.custody.folder import FolderError
        from eiderfield.custody.keeper import Keeper
        from eiderfield.custody.store import StoreError

        wheel, clock, call = self._driver.wheel, self._driver.clock, self._loop.call_soon_threadsafe
        try:
            keeper = Keeper(config.custody, config.name, self.exchange, ids, wheel, clock, call, log)
            keeper.begin()
        except (FolderError, StoreError) as error:
            raise ConfigError(str(error)) from None
        return keeper

    def _open(self, kind: str, listener: Listener, address: Address, beside: bool) -> None:
        try:
            try:
                listener.listen(self._loop, address)
            except OSError:
                # A process that left its socket and does not hand over must not block the start.
                if not beside or kind == "console":
                    raise
                listener.listen(self._loop, address, beside=True)
        except OSError as error:
            raise ConfigError(f"{kind}: cannot listen on {address[0]}:{address[1]} ({error})") from None

    def _listen_for_next(self) -> None:
        """Lets the next process find this one."""
        if self._peers is not None:  # whoever had taken the port over is gone
            self._peers.rest(False)
        self._ear.close(unlink=False)
        try:
            self._ear.open()
        except OSError as error:  # it serves without; only an upgrade would be rough
            log(f"no process can take over from this one: {self._socket}: {error}")

    def _ready(self) -> bool:
        """Whether this process takes clients."""
        listeners = [listener for listener, _ in self._listeners]
        taking = all(listener.listening and not listener.draining for listener in listeners)
        return self._settled and self.table.index is not None and taking

    def _crowd(self) -> dict[str, dict[str, Any]]:
        """Figures of the clients' connections and of who is let in, at all listeners together."""
        crowd: dict[str, Any] = {"connections": Counter(), "admission": Counter()}
        for listener, _ in self._listeners:
            crowd["connections"].update(listener.figures())
            if listener.governor is not None:
                crowd["admission"].update(listener.governor.figures())
        if self._peers is not None:
            crowd["peers"] = self._peers.figures
        if self._keeper is not None:
            crowd["custody"] = self._keeper.figures()
        return {name: dict(figures) for name, figures in crowd.items()}

    def _running(self) -> dict[str, object]:
        """What `/-/config` says."""
        told = self._config.told
        return {
            "name": self._config.name, "pid": os.getpid(), "generation": self._generation,
            "digest": digest_of(told), "settings": shown(told), "refused": self._refused,
        }  # fmt: skip

    def _follower(self, source: Discovery, whole: bool = False) -> Follower | None:
        """What follows a source; `whole` for one whose lists need not fit the table's."""
        driver, clock, site = self._driver, self._driver.clock, self._config.site
        if source.address is None:
            return None
        follower: Follower
        if source.kind == "consul":
            follower = ConsulFollower(self.table, driver.wheel, clock, driver.dial, source, log)
        else:
            follower = watcher = Watcher(self.table, driver.wheel, clock, driver.dial, source.address, log)
            watcher.whole = whole
        follower.backoff = Backoff(site.balancers, site.me, Random(self._config.seed), site.drain_grace)
        return follower

    def reload(self, load_again: Callable[[], Config]) -> None:
        """Takes a new configuration: the table and every job stay, whatever it says or lacks.

        An operator's file is taken whole or not at all. The platform's may name what cannot be changed: the
        rest of it is taken, for a discovery that has moved has to be followed whatever else the file says.
        """
        told: object = None
        try:
            config = load_again()
            told = config.told
            config = self._fitting(config)
            if config.discovery.kind == "static" and config.known is not None:
                self.table.load(config.known)
        except (ConfigError, ValueError) as error:  # a slip in the file must not end what runs well
            told = getattr(error, "told", told) or told
            self._refused = {"why": str(error), "digest": digest_of(told), "settings": shown(told)}
            log(f"the new configuration is not taken: {error}")
            return
        old, self._config = self._config, config
        self._generation, self._refused = self._generation + 1, None
        if config.site != old.site:
            self.exchange.adopt(config.site)
        self.workers.timeouts(config.dial_timeout, config.conn_idle)
        for listener, _ in self._listeners:
            listener.idle(config.idling)
            listener.govern(config.admission)
        if config.discovery != old.discovery:
            self._following.follow(self._follower(config.discovery, whole=True))
        log(f"the configuration was read again; discovery is at {config.discovery.address}")

    def _fitting(self, config: Config) -> Config:
        """A configuration as it can be taken; `ConfigError` where it is the operator's and cannot be."""
        old = self._config
        keep = {name: getattr(old, name) for name in FIXED if getattr(config, name) != getattr(old, name)}
        why = ", ".join(sorted({FIXED[name] for name in keep}))
        why = why and f"{why}: a new value takes effect at the next start alone"
        try:
            self.exchange.fits(config.site)
        except ValueError as error:
            why, keep = why or str(error), {**keep, "site": old.site}
        if why and config.strict:
            raise ConfigError(why)
        if why:
            log(why)
        return replace(config, **keep)

    def stop(self) -> None:
        """Begins the end: taken jobs are answered, and clients are asked to go elsewhere."""
        if not any(listener.draining for listener, _ in self._listeners):
            now, at = self._driver.clock(), self._driver.wheel.at
            end = Ending.of(max(cls.deadline for cls in self._config.site.classes))
            for listener, _ in self._listeners:
                listener.draining = True
            at(now + end.accepting, partial(self._close_listeners, now + end.last))
            # Where the others are restarting too, clients sent away at once would have nowhere to go.
            at(now + end.staying, self._leave)
            if self._keeper is not None:
                at(now + end.last, self._keeper.leave)
            if self._handover.handed_over:  # the next process takes who connects and who is connected
                for listener, _ in self._listeners:
                    listener.stop_listening()
                named = self._handover.listeners
                self._handover.pass_clients([name for name in named if name.startswith("listen ")])
                self._end_when_idle()

    def _close_listeners(self, until: float) -> None:
        """Closes the ports, but not while somebody waits behind one whom a full house cannot take yet: it
        would reset them. Once clients are sent away there is room."""
        for listener, _ in self._listeners:
            listener.until = until
        if not self._ending and any(listener.waited_for for listener, _ in self._listeners):
            self._driver.wheel.at(self._driver.clock() + LOOK, partial(self._close_listeners, until))
            return
        for listener, _ in self._listeners:
            listener.stop_listening()
        if not self.exchange.unanswered and not any(listener.connections for listener, _ in self._listeners):
            self._leave()

    def _leave(self) -> None:
        for listener, _ in self._listeners:
            listener.leaving = listener.heir is None
        if not self._ending:
            self._end_when_idle()

    def _end_when_idle(self) -> None:
        self._ending = True
        self._handover.pass_idle_clients()
        for listener, _ in self._listeners:
            if listener.leaving:
                listener.close_quiet()
        busy = self.exchange.unanswered or any(listener.connections for listener, _ in self._listeners)
        busy = busy or (self._keeper is not None and not self._keeper.idle)
        if not busy and self._handover.flushed:
            if self._keeper is not None:
                self._keeper.close()
            self._following.stop()
            self.workers.close()
            self._console.close()
            if self._peers is not None:
                self._peers.close()
            self._ear.close(unlink=not self._handover.handed_over)
            self._handover.close()
            self.ended.set()
            return
        self._driver.wheel.at(self._driver.clock() + LOOK, self._end_when_idle)


async def serve(config: Config, load_again: Callable[[], Config], hung_up: list[int] | None = None) -> None:
    """Runs one dispatcher until it is told to end. `hung_up` holds each SIGHUP that came before."""
    loop = asyncio.get_running_loop()
    # One bad peer or one slip must not end the program: what reaches the loop is logged.
    loop.set_exception_handler(lambda _, at: log(f"{at.get('message')}: {at.get('exception')!r}"))
    program = Program(config, loop, MonotonicClock())
    loop.add_signal_handler(signal.SIGTERM, program.stop)
    loop.add_signal_handler(signal.SIGINT, program.stop)
    loop.add_signal_handler(signal.SIGHUP, program.reload, load_again)
    if hung_up:  # the file may have been read before it was written anew
        program.reload(load_again)
    await program.start()
    gc.collect()
    gc.freeze()  # what lives for ever need not be looked through again
    log(f"{config.name} listens on {config.listen[0]}:{config.listen[1]}")
    await program.ended.wait()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program; 2 with one plain line if the configuration is faulty."""
    parser = argparse.ArgumentParser(prog="eiderfield", description="A dispatcher of jobs to workers.")
    parser.add_argument("--config", metavar="FILE", help="an operator's TOML file instead of LB_CONFIG")
    options = parser.parse_args(arguments)
    hung_up: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hung_up.append(number))  # which would end the process
    try:
        read = partial(load, os.environ, options.config)
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(serve(read(), partial(read, again=True), hung_up))
    except ConfigError as error:
        log(str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
