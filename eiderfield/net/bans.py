"""Workers that operators have banned, persisted in a file so that the bans outlive the process.

States of the file, as known to this process:

    UNREAD    the file could not be read at the start; it is not replaced before it has been read
    WRITTEN   the file holds the bans in memory
    WRITING   a snapshot of the bans is being written, in a thread since a disk may stall for seconds
    WAITING   the last attempt failed or `save_later` was called; the next attempt is scheduled

`load` leads to UNREAD or WRITTEN. An attempt in UNREAD reads the file first; the bans in it come into force
unless they were lifted meanwhile. `save` leads from any other state to WRITING. A successful attempt leads to
WRITTEN, or to WRITING again if `save` was called meanwhile, and a failed one to WAITING until the retry
interval has elapsed.

Invariants:

- `on_saved` is called with True only if the file holds the ban.
- A failed attempt loses no ban in memory or in the file, and is followed by a retry.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path

from eiderfield.exchange.timers import Timers
from eiderfield.net.ban_file import BanFile, BanTimes
from eiderfield.net.clock import WallClock
from eiderfield.net.file_operations import OperationRunner, run_inline

RETRY_INTERVAL_MS = 1000.0  # from a failed attempt to the next; a full disk remains so until an operator acts

SavedCallback = Callable[[bool], None]  # called with whether the file holds the bans


def ignore_result(_saved: bool) -> None:
    """Ignore the result of a save."""


class Bans:
    """The bans of one dispatcher. Without a path they are held in memory only.

    Attributes:
        since: Start of each ban, by worker name.
        on_ban_read: Called with the worker's name and the start of each ban that is read after `load` failed.
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
        """Create an empty set of bans; `load` reads those in the file.

        Args:
            path: The file.
            log: Called with a line for operators.
            timers: Schedules retries; without it there are none.
            clock: The process's clock, in ms.
            run: Runs file operations.
            wall: Converts times of `clock` to the Unix times in the file; without it they are equal.
        """
        self.since: BanTimes = {}
        self.on_ban_read: Callable[[str, float], None] | None = None
        self._file = None if path is None else BanFile(path, log, wall)
        self._log = log
        self._timers = timers
        self._clock = clock
        self._run = run
        self._bans_on_file: BanTimes | None = {}  # None if the file's content is unknown
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
        """Remove a ban; return its start, or None if the worker is not banned."""
        if self._file_unread:
            self._lifted_while_unread.add(name)
        return self.since.pop(name, None)

    def save(self, on_saved: SavedCallback = ignore_result) -> None:
        """Write the bans to the file; `on_saved` is called after an attempt that includes them."""
        if self._file is None:
            on_saved(True)
            return
        self._callbacks.append(on_saved)
        if not self._operation_running:
            self._start_attempt(self._file)

    def save_later(self) -> None:
        """Write the bans after the retry interval.

        The dispatcher's other process writes the same change at once, but may end before it succeeds.
        """
        if self._file is not None:
            self._schedule_retry()

    def _start_attempt(self, file: BanFile) -> None:
        """Write the bans, or read the file first if it was not read yet."""
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
