"""The file in which the table of begun ids outlives a process, and which the processes of an upgrade share.

The file is mapped into memory: an id that is added stays when the process is killed, without a system call.
Its space is allocated at the start, since writing to a hole of a file on a full disk would end the process.
"""

from __future__ import annotations

import mmap
import os
import stat
from collections.abc import Callable
from pathlib import Path

from eiderfield.exchange.begun_ids import TABLE_BYTES, BegunIds

_OPEN_FLAGS = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC
_OWNER_ONLY = 0o600


def open_begun_ids(path: Path, log: Callable[[str], None]) -> BegunIds:
    """Return the ids in the file at `path`; without a usable file, ids that this process alone will know."""
    try:
        return BegunIds(_map(path))
    except (OSError, ValueError) as error:
        log(f"begun ids: file not used, ids are forgotten with the process (path={path} error={error})")
        return BegunIds()


def _map(path: Path) -> memoryview:
    """Return the mapped file, of `TABLE_BYTES` bytes; raises `OSError` or `ValueError`."""
    descriptor = os.open(path, _OPEN_FLAGS, _OWNER_ONLY)
    try:
        status = os.fstat(descriptor)
        if not stat.S_ISREG(status.st_mode) or status.st_uid != os.getuid():
            raise ValueError("it is not a file of this user")
        if status.st_size != TABLE_BYTES:
            os.ftruncate(descriptor, 0)
        os.posix_fallocate(descriptor, 0, TABLE_BYTES)
        return memoryview(mmap.mmap(descriptor, TABLE_BYTES))
    finally:
        os.close(descriptor)
