"""A shim that makes file operations fail with an errno, for a while: the system's calls and SQLite's.

`FailingFiles` counts the operations of a kind under one folder and fails the n-th of them and those that
follow, until `heal` is called or `times` of them have failed. The product's own files go through `os`, whose
functions are replaced; SQLite's go through a VFS of this module, registered in the library that the
interpreter uses, which hands each call on to the default one.
"""

from __future__ import annotations

import ctypes
import ctypes.util
import errno
import os
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

FULL, BROKEN = errno.ENOSPC, errno.EIO
ERRORS = (FULL, BROKEN)

# Kinds of operations, and the functions of `os` that each stands for.
FUNCTIONS = {
    "open": ("open",),
    "write": ("write", "pwrite"),
    "sync": ("fsync", "fdatasync"),
    "rename": ("replace", "rename"),
    "link": ("link", "symlink"),
    "unlink": ("unlink", "rmdir"),
    "mkdir": ("mkdir",),
    "look": ("lstat", "readlink", "listdir"),
    "read": ("pread", "read"),
}
SQLITE_KINDS = ("database open", "database write", "database sync", "database read")
KINDS = (*FUNCTIONS, *SQLITE_KINDS)

_OK, _IOERR, _FULL, _CANTOPEN = 0, 10, 13, 14
_IOERR_READ, _IOERR_WRITE, _IOERR_FSYNC = _IOERR | 1 << 8, _IOERR | 3 << 8, _IOERR | 4 << 8


@dataclass
class FailingFiles:
    """Which operations fail, and how many there were. `folder` bounds it: nothing else is touched."""

    folder: Path
    kind: str = ""
    code: int = FULL
    first: int = 1  # the n-th operation of the kind is the first to fail
    times: int | None = None  # how many fail; None for all until `heal`
    partly: bool = False  # a write that fails leaves half of its bytes
    counts: Counter[str] = field(default_factory=Counter)
    failed: int = 0
    _paused: bool = False
    _open: set[int] = field(default_factory=set)  # descriptors of files under the folder

    def fail(self, kind: str, code: int, first: int = 1, times: int | None = None) -> None:
        """Begins to fail a kind of operations, counted from now."""
        self.kind, self.code, self.first, self.times = kind, code, first, times
        self.counts.clear()
        self.failed = 0

    def heal(self) -> None:
        """The disk is well again."""
        self.kind = ""

    @contextmanager
    def paused(self) -> Iterator[None]:
        """For what the test itself does with the files: nothing fails or counts."""
        self._paused = True
        try:
            yield
        finally:
            self._paused = False

    def fails(self, kind: str) -> bool:
        """Counts an operation; whether it fails."""
        if self._paused:
            return False
        self.counts[kind] += 1
        due = kind == self.kind and self.counts[kind] >= self.first
        if due and (self.times is None or self.failed < self.times):
            self.failed += 1
            return True
        return False

    def concerns(self, place: object) -> bool:
        """Whether a path, or a descriptor, lies under the folder."""
        if isinstance(place, int):
            return place in self._open
        if isinstance(place, str | bytes | os.PathLike):
            return os.fsdecode(place).startswith(str(self.folder))
        return False

    def error(self) -> OSError:
        """What a failing call raises."""
        return OSError(self.code, os.strerror(self.code))

    def replaced(self, kind: str, function: Callable[..., Any]) -> Callable[..., Any]:
        """A function of `os` that may fail."""
        name = function.__name__

        def call(*args: Any, **more: Any) -> Any:
            places = args[:2] if name in ("link", "symlink", "replace", "rename") else args[:1]
            if not any(self.concerns(place) for place in places):
                return function(*args, **more)
            if self.fails(kind):
                if self.partly and kind == "write":
                    function(args[0], bytes(args[1])[: len(args[1]) // 2], *args[2:])
                raise self.error()
            result = function(*args, **more)
            if name == "open":
                self._open.add(result)
            return result

        return call


def raise_io_error(*_arguments: object) -> None:
    """Fail as a call on a broken disk does, in the place of a method."""
    raise OSError(BROKEN, os.strerror(BROKEN))


@contextmanager
def failing_files(folder: Path, monkeypatch: Any) -> Iterator[FailingFiles]:
    """The shim over one folder, with nothing failing yet."""
    faults = FailingFiles(folder)
    close = os.close

    def closed(descriptor: int) -> None:
        faults._open.discard(descriptor)
        close(descriptor)

    with monkeypatch.context() as patched:
        for kind, names in FUNCTIONS.items():
            for name in names:
                patched.setattr(os, name, faults.replaced(kind, getattr(os, name)))
        patched.setattr(os, "close", closed)
        with _failing_databases(faults):
            yield faults


# SQLite: a VFS that hands each call on, with the methods of its files wrapped.


class _Methods(ctypes.Structure):
    """sqlite3_io_methods of version 3; what is not wrapped is handed on as it is."""

    _fields_ = (
        ("version", ctypes.c_int),
        ("close", ctypes.c_void_p),
        ("read", ctypes.c_void_p),
        ("write", ctypes.c_void_p),
        ("truncate", ctypes.c_void_p),
        ("sync", ctypes.c_void_p),
        *[(f"other_{number}", ctypes.c_void_p) for number in range(13)],
    )


class _Vfs(ctypes.Structure):
    """sqlite3_vfs of version 3, up to the calls that are handed on as they are."""

    _fields_ = (
        ("version", ctypes.c_int),
        ("file_size", ctypes.c_int),
        ("longest_path", ctypes.c_int),
        ("next", ctypes.c_void_p),
        ("name", ctypes.c_char_p),
        ("data", ctypes.c_void_p),
        ("open", ctypes.c_void_p),
        *[(f"other_{number}", ctypes.c_void_p) for number in range(15)],
    )


class _File(ctypes.Structure):
    """sqlite3_file: its methods, and then what is the VFS's own."""

    _fields_ = (("methods", ctypes.POINTER(_Methods)),)


_FILE = ctypes.POINTER(_File)
_OPEN = ctypes.CFUNCTYPE(  # the name is a pointer that SQLite keeps: as text it would be a copy
    ctypes.c_int, ctypes.c_void_p, ctypes.c_void_p, _FILE, ctypes.c_int, ctypes.POINTER(ctypes.c_int)
)
_TRANSFER = ctypes.CFUNCTYPE(ctypes.c_int, _FILE, ctypes.c_void_p, ctypes.c_int, ctypes.c_int64)
_SYNC = ctypes.CFUNCTYPE(ctypes.c_int, _FILE, ctypes.c_int)

_kept: list[object] = []  # what C holds pointers to must not be collected
_state: dict[str, FailingFiles] = {}  # the shim that is in force, if any


@contextmanager
def _failing_databases(faults: FailingFiles) -> Iterator[None]:
    _state["faults"] = faults
    try:
        yield
    finally:
        del _state["faults"]


def _database_fails(kind: str) -> FailingFiles | None:
    faults = _state.get("faults")
    return faults if faults is not None and faults.fails(kind) else None


def _register() -> None:
    """Registers the VFS as the default one. Files that were opened before never fail."""
    import _sqlite3  # the library that the interpreter's module has loaded

    library = ctypes.CDLL(_sqlite3.__file__)
    library.sqlite3_vfs_find.restype = ctypes.POINTER(_Vfs)
    library.sqlite3_vfs_find.argtypes = [ctypes.c_char_p]
    library.sqlite3_vfs_register.argtypes = [ctypes.POINTER(_Vfs), ctypes.c_int]
    default = library.sqlite3_vfs_find(None)
    wrapped = _Vfs()
    ctypes.memmove(ctypes.byref(wrapped), default, ctypes.sizeof(_Vfs))
    wrapped.name = b"failing"
    wrapped.next = None
    open_file = _OPEN(default.contents.open)
    methods: dict[int, _Methods] = {}

    def opened(_vfs: int, name: int, file: Any, flags: int, out: Any) -> int:
        if _database_fails("database open"):
            return _CANTOPEN
        result: int = open_file(ctypes.cast(default, ctypes.c_void_p).value, name, file, flags, out)
        if result == _OK and file.contents.methods:
            address = ctypes.cast(file.contents.methods, ctypes.c_void_p).value
            assert address is not None
            if address not in methods:
                methods[address] = _wrapped_methods(file.contents.methods.contents)
            file.contents.methods = ctypes.pointer(methods[address])
        return result

    callback = _OPEN(opened)
    wrapped.open = ctypes.cast(callback, ctypes.c_void_p)
    _kept.extend([library, wrapped, callback, methods, open_file])
    library.sqlite3_vfs_register(ctypes.byref(wrapped), 1)


def _wrapped_methods(original: _Methods) -> _Methods:
    wrapped = _Methods()
    ctypes.memmove(ctypes.byref(wrapped), ctypes.byref(original), ctypes.sizeof(_Methods))
    read, write = _TRANSFER(original.read), _TRANSFER(original.write)
    sync = _SYNC(original.sync)

    def reads(file: Any, data: int, size: int, offset: int) -> int:
        return _IOERR_READ if _database_fails("database read") else read(file, data, size, offset)

    def writes(file: Any, data: int, size: int, offset: int) -> int:
        faults = _database_fails("database write")
        if faults is None:
            written: int = write(file, data, size, offset)
            return written
        if faults.partly:
            write(file, data, size // 2, offset)
        return _FULL if faults.code == FULL else _IOERR_WRITE

    def syncs(file: Any, flags: int) -> int:
        return _IOERR_FSYNC if _database_fails("database sync") else sync(file, flags)

    callbacks = (_TRANSFER(reads), _TRANSFER(writes), _SYNC(syncs))
    wrapped.read, wrapped.write, wrapped.sync = (
        ctypes.cast(callback, ctypes.c_void_p) for callback in callbacks
    )
    _kept.append((callbacks, read, write, sync, wrapped))
    return wrapped


_register()
