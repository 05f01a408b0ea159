"""Locks that keep two controllers from changing the same dispatcher at the same time.

Each console address has a lock file, on which the controller holds an advisory lock (`flock`). The path of
the file does not depend on the change's folder, so the lock also excludes controllers of other folders.
The operating system releases the lock when the controller's process ends.
"""

from __future__ import annotations

import fcntl
import os
import tempfile
from collections.abc import Iterable
from contextlib import ExitStack, suppress
from pathlib import Path
from types import TracebackType

from eiderfield.config.address import Address
from eiderfield.rollout.errors import LockError
from eiderfield.rollout.plan import Plan

_LOCK_MODE = 0o600
_OPEN_FLAGS = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC


class DispatcherLocks:
    """The locks of all dispatchers of a plan, held until `close` is called or the process ends.

    Raises:
        LockError: another controller holds one of the locks, or a lock file cannot be opened or locked.
    """

    def __init__(self, plan: Plan, folder: Path | None = None) -> None:
        self._files = ExitStack()
        self._folder = Path(tempfile.gettempdir()) if folder is None else folder
        try:
            for member in plan.members:
                self._lock(member.name, member.consoles())
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Release all locks."""
        self._files.close()

    def __enter__(self) -> DispatcherLocks:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _lock(self, member: str, consoles: Iterable[Address]) -> None:
        for host, port in consoles:
            path = self._folder / f"eiderfield-rollout-{host}-{port}.lock"
            try:
                file = self._files.enter_context(os.fdopen(os.open(path, _OPEN_FLAGS, _LOCK_MODE), "r+"))
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                holder = path.read_text().strip() or "unknown"
                reason = f"is being changed already, by the controller with pid {holder}"
                raise LockError(member, reason) from None
            except OSError as error:
                raise LockError(member, f"cannot be locked: {path}: {error}") from None
            with suppress(OSError):  # the lock is held even if the pid cannot be written to a full disk
                os.truncate(file.fileno(), 0)
                os.pwrite(file.fileno(), f"{os.getpid()}\n".encode(), 0)
