"""Durable writes of small files. All files that must outlive a process are written by this module.

States of a file: absent or old content -> new content. New content is written to a draft, a temporary file
in the same folder, which then takes the file's name. A writer that is killed at any moment leaves the file in
one of the two states, and perhaps a draft, which no reader opens. After a call that raised `OSError`, the
caller repeats the call or treats the content as not written.

Invariants: a reader never sees a partly written file; a call raises `OSError` if the system refused a write
or a sync. With `sync` the content also survives a loss of power; without it, only the loss of the process.
"""

from __future__ import annotations

import errno
import os
from contextlib import suppress
from pathlib import Path

# Errors after which the same call may succeed later.
TRANSIENT_ERRNOS = frozenset(
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

DRAFT_PREFIX = "~"  # starts the names of drafts, which listings of a folder leave out
PRIVATE_MODE = 0o600  # permissions of files that only their owner reads
SHARED_MODE = 0o666  # permissions of files that operators read, reduced by the umask
FOLDER_MODE = 0o700
RANDOM_NAME_BYTES = 4  # random part of a draft's name


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, in several system calls if one writes only a part."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def sync_folder(folder: Path) -> None:
    """Sync a folder: the names of new and renamed files in it survive a loss of power."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, text: str, mode: int = PRIVATE_MODE) -> None:
    """Replace the content of a file and sync it to the disk."""
    draft = path.with_name(f"{DRAFT_PREFIX}{path.name}.{os.getpid()}")
    with suppress(OSError):  # left by an earlier process with this pid; `_write_draft` raises if it stays
        draft.unlink()
    try:
        _write_draft(draft, text, mode, sync=True)
        draft.replace(path)
    except BaseException:
        with suppress(OSError):
            draft.unlink()
        raise
    sync_folder(path.parent)


def create_file(path: Path, text: str, sync: bool = False) -> None:
    """Create a file with its whole content. Raises `FileExistsError` if it exists."""
    random_part = os.urandom(RANDOM_NAME_BYTES).hex()
    draft = path.with_name(f"{DRAFT_PREFIX}{path.name}.{os.getpid()}.{random_part}")
    try:
        _write_draft(draft, text, PRIVATE_MODE, sync)
        os.link(draft, path)
    finally:
        with suppress(OSError):  # a draft that cannot be removed is never read
            draft.unlink()
    if sync:
        sync_folder(path.parent)


def create_symlink(target: str, path: Path, sync: bool = False) -> bool:
    """Create a symbolic link, and its folder if that does not exist.

    Returns False if the link exists already.
    """
    try:
        path.symlink_to(target)
    except FileExistsError:
        return False
    except FileNotFoundError:
        with suppress(FileExistsError):
            path.parent.mkdir(FOLDER_MODE)
        if sync:
            sync_folder(path.parent.parent)
        return create_symlink(target, path, sync)
    if sync:
        sync_folder(path.parent)
    return True


def append_line(path: Path, line: str) -> None:
    """Append a line to a file. A last line that was cut short is ended first."""
    flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
    descriptor = os.open(path, flags, SHARED_MODE)
    try:
        size = os.fstat(descriptor).st_size
        is_cut_short = size > 0 and os.pread(descriptor, 1, size - 1) != b"\n"
        start = "\n" if is_cut_short else ""
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
