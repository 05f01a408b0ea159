"""Workers that operators have banned, persisted in a file so that bans outlive the process.

States of the file, as this process knows it:

    UNREAD    the system refused to read it; it is not replaced before it was read
    WRITTEN   it holds the bans in memory
    WRITING   a snapshot of the bans is being written, outside the event loop: a disk may stall for seconds
    WAITING   the last attempt failed, or a ban came during one; the next attempt is scheduled

`load` leads to UNREAD or WRITTEN. An attempt in UNREAD reads first; the bans on file come into force unless
they were lifted meanwhile. `save` leads from any other state to WRITING. A successful attempt leads to
WRITTEN, or to WRITING again if the bans changed meanwhile, and a failed one to WAITING, which ends by a
timer.

Invariants: a caller is told that a ban is saved only if the file holds it, and no failed attempt loses a
ban in memory or on file, or the retry.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path

from eiderfield.exchange.timers import Timers
from eiderfield.net.ban_file import BanFile, BanTimes
from eiderfield.net.clock import WallClock
from eiderfield.net.file_operations import OperationRunner, run_inline

RETRY_INTERVAL_MS = 1000.0  # from a failed attempt to the next: a full disk takes an operator to free it

SavedCallback = Callable[[bool], None]  # called with whether the bans are in the file


def ignore_result(_saved: bool) -> None:
    """Wait for no result of a save."""


class Bans:
    """The bans of one dispatcher. Without a path they live in memory alone.

    Attributes:
        since: By worker name, when the ban began.
        on_ban_read: Called with the name and time of each ban that was read after the start.
    """

    def __init__(
        self,
        path: Path | None,
        log: Callable[[str], None],
        timers: Timers | None = None,
        clock: Callable[[], float] = lambda: 0.0,
        run: OperationRunner = run_inline,
        wall: WallClock | None = None,
    ) -> None:
        """Creates an empty set of bans; `load` reads those on file.

        Args:
            path: The file.
            log: Called with a line for operators.
            timers: Schedules retries; without it there are none.
            clock: The process's clock, in ms.
            run: Runs file operations.
            wall: Relates `clock` to the Unix times of the file; without it they are the same.
        """
        self.since: BanTimes = {}
        self.on_ban_read: Callable[[str, float], None] | None = None
        self._file = None if path is None else BanFile(path, log, wall)
        self._log = log
        self._timers = timers
        self._clock = clock
        self._run = run
        self._bans_on_file: BanTimes | None = {}  # None while unknown
        self._file_unread = False
        self._lifted_while_unread: set[str] = set()
        self._operation_running = False
        self._retry_scheduled = False
        self._callbacks: list[SavedCallback] = []  # for the next attempt
        self._last_error = ""

    @property
    def saved(self) -> bool:
        """Whether the file holds the bans in memory."""
        return self._file is None or self.since == self._bans_on_file

    def load(self) -> None:
        """Read the bans that an earlier process saved. A malformed file counts as empty."""
        if self._file is None:
            return
        try:
            self.since = self._bans_on_file = self._file.read()
        except OSError as error:
            self._log(f"bans: file not readable yet, retrying (path={self._file.path} error={error})")
            self._file_unread = True
            self._schedule_retry()
        self.since = dict(self.since)

    def remove(self, name: str) -> float | None:
        """Remove a ban; return when it began, or None if there is none."""
        if self._file_unread:
            self._lifted_while_unread.add(name)
        return self.since.pop(name, None)

    def save(self, on_saved: SavedCallback = ignore_result) -> None:
        """Write the bans to the file; `on_saved` is called after the attempt that includes them."""
        if self._file is None:
            on_saved(True)
            return
        self._callbacks.append(on_saved)
        if not self._operation_running:
            self._start_attempt(self._file)

    def save_later(self) -> None:
        """Write the bans after the retry interval.

        The dispatcher's other process writes the same change now, and may end before it succeeds.
        """
        if self._file is not None:
            self._schedule_retry()

    def _start_attempt(self, file: BanFile) -> None:
        """Write the bans, or read the file if it was not read yet."""
        self._operation_running = True
        callbacks, self._callbacks = self._callbacks, []
        if self._file_unread:
            self._run(file.read, partial(self._read_ended, file, callbacks))
        else:
            snapshot = dict(self.since)
            self._run(partial(_write, file, snapshot), partial(self._attempt_ended, file, callbacks))

    def _read_ended(self, file: BanFile, callbacks: list[SavedCallback], result: BanTimes | OSError) -> None:
        if isinstance(result, OSError):
            self._attempt_ended(file, callbacks, result)
            return
        self._callbacks = callbacks + self._callbacks
        self._apply_bans_on_file(result)
        self._start_attempt(file)

    def _apply_bans_on_file(self, bans: BanTimes) -> None:
        self._file_unread = False
        for name in bans.keys() - self.since.keys() - self._lifted_while_unread:
            if self.on_ban_read is not None:
                self.on_ban_read(name, bans[name])
        self._lifted_while_unread.clear()

    def _attempt_ended(
        self, file: BanFile, callbacks: list[SavedCallback], result: BanTimes | OSError
    ) -> None:
        self._operation_running = False
        if isinstance(result, OSError):
            self._record_failure(file, result)
        else:
            self._record_success(file, result)
        for on_saved in callbacks:
            on_saved(not isinstance(result, OSError))
        if self._callbacks and not self._operation_running:
            self._start_attempt(file)

    def _record_failure(self, file: BanFile, error: OSError) -> None:
        self._bans_on_file = None
        if str(error) != self._last_error:
            self._last_error = str(error)
            self._log(f"bans: file not written, retrying (path={file.path} error={error})")
        self._schedule_retry()

    def _record_success(self, file: BanFile, written: BanTimes) -> None:
        self._bans_on_file = written
        if self._last_error:
            self._log(f"bans: file written again (path={file.path})")
        self._last_error = ""

    def _schedule_retry(self) -> None:
        if self._timers is not None and not self._retry_scheduled:
            self._retry_scheduled = True
            self._timers.call_at(self._clock() + RETRY_INTERVAL_MS, self._retry)

    def _retry(self) -> None:
        self._retry_scheduled = False
        if not self._operation_running and self._file is not None:
            self._start_attempt(self._file)


def _write(file: BanFile, bans: BanTimes) -> BanTimes:
    """Write bans and return them."""
    file.write(bans)
    return bans
