"""Durable writes of small files: the one place that writes, syncs and renames what has to outlive a process.

A file moves between two states only: it is absent or holds the old content, and then it holds the new one. A
writer that is killed at any moment leaves one of the two, and perhaps a draft beside it, which no reader
looks at. A call that returned has done its work; one that raised `OSError` may or may not have, so its caller
either calls again or treats the content as not written.

What must never happen: a reader sees half of a file; a call returns although the system refused a write or a
sync. With `sync` the content also survives a loss of power; without it, only the loss of the process.
"""

from __future__ import annotations

import errno
import os
from contextlib import suppress
from pathlib import Path

# Errors that pass: the same call may succeed once the disk, or the machine, is well again.
TRANSIENT = frozenset(
    {
        errno.EIO,
        errno.ENOSPC,
        errno.EDQUOT,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOMEM,
        errno.EAGAIN,
        errno.ESTALE,
    }
)

DRAFT = "~"  # names that begin so are drafts; whoever lists a folder passes over them
PRIVATE = 0o600  # mode of files that only their owner reads
SHARED = 0o666  # mode of files that operators read, less the umask


def write_all(descriptor: int, data: bytes) -> None:
    """Writes all of some bytes: the system may take fewer in a call."""
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


def sync_folder(folder: Path) -> None:
    """Waits until the names in a folder are on the disk."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, text: str, mode: int = PRIVATE) -> None:
    """Gives a file a new content, synced to the disk."""
    draft = path.with_name(f"{DRAFT}{path.name}.{os.getpid()}")
    with suppress(OSError):  # of an earlier process with this number; one that stays refuses the next draft
        os.unlink(draft)
    try:
        _write_draft(draft, text, mode, sync=True)
        os.replace(draft, path)
    except BaseException:
        with suppress(OSError):
            os.unlink(draft)
        raise
    sync_folder(path.parent)


def create_file(path: Path, text: str, sync: bool = False) -> None:
    """Makes a file that must not be there; `FileExistsError` if it is."""
    draft = path.with_name(f"{DRAFT}{path.name}.{os.getpid()}.{os.urandom(4).hex()}")
    try:
        _write_draft(draft, text, PRIVATE, sync)
        os.link(draft, path)
    finally:
        with suppress(OSError):  # a draft that stays is never read
            os.unlink(draft)
    if sync:
        sync_folder(path.parent)


def create_symlink(target: str, path: Path, sync: bool = False) -> bool:
    """Makes a link, and its folder if need be. False if the link is there already."""
    try:
        os.symlink(target, path)
    except FileExistsError:
        return False
    except FileNotFoundError:
        with suppress(FileExistsError):
            os.mkdir(path.parent, 0o700)
        if sync:
            sync_folder(path.parent.parent)
        return create_symlink(target, path, sync)
    if sync:
        sync_folder(path.parent)
    return True


def append_line(path: Path, line: str) -> None:
    """Adds a line to a file. Where the last one was cut short, the new one still stands by itself."""
    flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
    descriptor = os.open(path, flags, SHARED)
    try:
        size = os.fstat(descriptor).st_size
        cut_short = size > 0 and os.pread(descriptor, 1, size - 1) != b"\n"
        start = "\n" if cut_short else ""
        write_all(descriptor, f"{start}{line}\n".encode())
    finally:
        os.close(descriptor)


def _write_draft(draft: Path, text: str, mode: int, sync: bool) -> None:
    descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, mode)
    try:
        write_all(descriptor, text.encode())
        if sync:
            os.fsync(descriptor)
    finally:
        os.close(descriptor)
