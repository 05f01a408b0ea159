"""The workers that operators have banned, kept in a file so that bans outlive the process.

States of the file, as this process knows it:

    UNREAD    it is there and the system refused to read it; it is not replaced before it was read
    WRITTEN   it holds what is in memory
    WRITING   a snapshot of the memory is being written, away from the loop: a disk may stall for seconds
    WAITING   the last attempt failed, or a ban came while one was under way; the next attempt has its time

`read` leads to UNREAD or WRITTEN. An attempt in UNREAD reads first, and what it finds is banned unless an
operator gave it back meanwhile. `keep` leads from any other state to WRITING; the attempt's end leads to
WRITTEN, to WRITING again where the memory has changed meanwhile, or to WAITING where the system refused it.
WAITING ends by a timer.

What must never happen: a caller is told that a ban is written down which the file does not hold; a ban in
memory, or on file, is lost or no longer to be written because one attempt failed.

The file holds Unix times, the process times of its own clock. After a step of the wall clock a ban that was
read may seem to lie ahead: it then counts as later than any start of its worker, which is taken to be in slow
start once the ban is lifted.
"""

from __future__ import annotations

import json
import os
import threading
from collections.abc import Callable
from math import isfinite
from pathlib import Path

from eiderfield.durable import TRANSIENT, replace_file
from eiderfield.exchange.timers import Timers
from eiderfield.net.clock import WallClock

READ_LIMIT = 1 << 20  # bytes of the file: thousands of names
RETRY_INTERVAL = 1000.0  # ms from a failed attempt to the next: a full disk is mended by hand, not at once

Found = dict[str, float]
Work = Callable[[], Found]  # what is on file after it; raises `OSError`
Done = Callable[[Found | OSError], None]
Runner = Callable[[Work, Done], None]


def run_inline(work: Work, done: Done) -> None:
    """Does some work at once."""
    done(result_of(work))


def thread_runner(call_in_loop: Callable[[Callable[[], None]], object]) -> Runner:
    """Does work in a thread of its own; `done` is called through `call_in_loop`."""

    def run(work: Work, done: Done) -> None:
        def target() -> None:
            result = result_of(work)
            call_in_loop(lambda: done(result))

        threading.Thread(target=target, name="bans", daemon=True).start()

    return run


class Bans:
    """Names of banned workers, with when each was banned. Without a path they live in memory alone."""

    def __init__(
        self,
        path: Path | None,
        log: Callable[[str], None],
        timers: Timers | None = None,
        clock: Callable[[], float] = lambda: 0.0,
        run: Runner = run_inline,
        wall: WallClock | None = None,
    ) -> None:
        """Holds no bans yet: `read` takes in those on file. Without `timers` nothing is tried again.

        `wall` relates `clock` to the Unix times of the file; without it they are the same."""
        self.since: Found = {}
        self.found_late: Callable[[str, float], None] = lambda name, since: None  # a ban that was read late
        self._path = path
        self._log = log
        self._timers = timers
        self._clock = clock
        self._run = run
        self._wall = wall
        self._on_file: Found | None = {}  # None while it is not known
        self._unread = False
        self._given_back: set[str] = set()  # names whose bans ended while the file was not read
        self._writing = False
        self._retry_set = False
        self._callers: list[Callable[[bool], None]] = []  # who waits for the next attempt
        self._last_error = ""

    @property
    def written(self) -> bool:
        """Whether the file holds what is in memory."""
        return self._path is None or self.since == self._on_file

    def read(self) -> None:
        """Takes in what an earlier process kept. A file that is torn or not ours must not stop the start."""
        if self._path is None:
            return
        try:
            self.since = self._on_file = self._read_file(self._path)
        except OSError as error:
            self._log(f"bans: {self._path} cannot be read yet: {error}")
            self._unread = True
            self._retry_later()
        self.since = dict(self.since)

    def _read_file(self, path: Path) -> Found:
        """The bans on file, none where it cannot be used; raises an `OSError` that may pass."""
        try:
            descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
            with os.fdopen(descriptor, "rb") as file:
                if os.fstat(descriptor).st_uid != os.getuid():
                    raise ValueError("it belongs to another user")
                stored = parse(json.loads(file.read(READ_LIMIT)))
                return _shifted(stored, -self._unix_ahead())
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, RecursionError) as error:
            if isinstance(error, OSError) and error.errno in TRANSIENT:
                raise
            self._log(f"bans: {path} is not taken: {error}")
            return {}

    def remove(self, name: str) -> float | None:
        """Ends a ban; when it began, None if there was none."""
        if self._unread:
            self._given_back.add(name)
        return self.since.pop(name, None)

    def _unix_ahead(self) -> float:
        """What Unix time is ahead of the process's clock."""
        return 0.0 if self._wall is None else self._wall.offset()

    def keep(self, then: Callable[[bool], None] = lambda written: None) -> None:
        """Writes the bans down. `then` hears whether all that is in memory now is in the file."""
        if self._path is None:
            then(True)
            return
        self._callers.append(then)
        if not self._writing:
            self._attempt(self._path)

    def keep_later(self) -> None:
        """Writes the bans down in a while: another process of this dispatcher was told of the change, and may
        end before it could write it."""
        if self._path is not None:
            self._retry_later()

    def _attempt(self, path: Path) -> None:
        """Begins a write of what is in memory, or first a read of what could not be read before."""
        self._writing = True
        callers, self._callers = self._callers, []
        snapshot = dict(self.since)

        def write() -> Found:
            replace_file(path, json.dumps({"banned": _shifted(snapshot, self._unix_ahead())}))
            return snapshot

        def read() -> Found:
            return self._read_file(path)

        def done(result: Found | OSError) -> None:
            self._writing = False
            if unread and not isinstance(result, OSError):
                self._callers = callers + self._callers
                self._read_late(result)
                self._attempt(path)
                return
            self._ended(result)
            for then in callers:
                then(not isinstance(result, OSError))
            if self._callers and not self._writing:
                self._attempt(path)

        unread = self._unread
        self._run(read if unread else write, done)

    def _read_late(self, found: Found) -> None:
        self._unread = False
        for name in found.keys() - self.since.keys() - self._given_back:
            self.found_late(name, found[name])
        self._given_back.clear()

    def _ended(self, result: Found | OSError) -> None:
        if isinstance(result, OSError):
            self._on_file = None
            if str(result) != self._last_error:
                self._last_error = str(result)
                self._log(f"bans: {self._path} cannot be written: {result}")
            self._retry_later()
            return
        self._on_file = result
        if self._last_error:
            self._log(f"bans: {self._path} is written again")
        self._last_error = ""

    def _retry_later(self) -> None:
        if self._timers is not None and not self._retry_set:
            self._retry_set = True
            self._timers.at(self._clock() + RETRY_INTERVAL, self._retry)

    def _retry(self) -> None:
        self._retry_set = False
        if not self._writing and self._path is not None:
            self._attempt(self._path)


def result_of(work: Work) -> Found | OSError:
    """What some work returns, or the error that it raises."""
    try:
        return work()
    except OSError as error:
        return error


def _shifted(times: Found, by: float) -> Found:
    return {name: at + by for name, at in times.items()}


def parse(told: object) -> dict[str, float]:
    """Bans in the file's form; raises `ValueError` if it is not that."""
    banned = told.get("banned") if isinstance(told, dict) else None
    if not isinstance(banned, dict):
        raise ValueError("no table of bans")
    for since in banned.values():
        if isinstance(since, bool) or not isinstance(since, int | float) or not isfinite(since):
            raise ValueError("a ban's time is not a number")
    return {str(name): float(since) for name, since in banned.items()}
