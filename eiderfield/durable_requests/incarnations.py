"""The incarnations of the host's dispatchers: names that never come again, with processes and heartbeats.

    members/INCARNATION    its process, its start, the boot of the machine, and the wall clock's offset
    beats/INCARNATION      eight bytes, the count of its heartbeats

A process begins an incarnation (`n1.3`) when it joins, and a further one when it was taken for lost.
"""

from __future__ import annotations

import json
import os
import re
import struct
from collections.abc import Container, Iterable, Mapping
from contextlib import suppress
from dataclasses import asdict, dataclass

from eiderfield.durable_requests.errors import DispatcherNameError
from eiderfield.durable_requests.files import FolderFiles
from eiderfield.machine import boot_id, process_started, unix_offset

MEMBERS, HEARTBEATS = "members", "beats"
CLOCK_STEP = 1000.0  # ms by which the wall clock must have parted from the monotonic one to count as stepped
_HEARTBEAT = struct.Struct("<Q")
_PLAIN_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z")


@dataclass(frozen=True, slots=True)
class IncarnationInfo:
    """What an incarnation says of itself. `offset` leads from its monotonic clock to Unix time, in ms."""

    name: str  # of the dispatcher
    pid: int
    started: str  # when its process began, in the kernel's ticks
    boot: str
    offset: float

    def encode(self) -> str:
        """Its stored form."""
        return json.dumps(asdict(self))

    @classmethod
    def decode(cls, text: str) -> IncarnationInfo:
        """Out of the stored form; `ValueError` if that is torn."""
        try:
            told = json.loads(text)
            return cls(
                str(told["name"]),
                int(told["pid"]),
                str(told["started"]),
                str(told["boot"]),
                float(told["offset"]),
            )
        except (LookupError, TypeError) as error:
            raise ValueError(f"not an incarnation: {error}") from None

    @property
    def is_running(self) -> bool:
        """Whether its process is there, by the machine's word."""
        return self.boot == boot_id() and process_started(self.pid) == self.started


class Incarnations:
    """All incarnations of a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Reads nothing yet."""
        self._files = files
        self._gone: set[str] = set()
        self.offset = unix_offset()  # as this process has written it last

    def begin(self, name: str) -> str:
        """Begins an incarnation of a dispatcher: a name that was never there before."""
        if not _PLAIN_NAME.match(name):
            raise DispatcherNameError(name)
        self.offset = unix_offset()
        used = [*self._files.names(MEMBERS, f"{name}."), *self._files.names("fences", f"{name}.")]
        number = 1 + max(map(number_of, used), default=0)
        while True:
            incarnation = f"{name}.{number}"
            try:
                self.write_heartbeat(incarnation, 0)
                self._files.create(self._own_info(name).encode(), MEMBERS, incarnation)
                return incarnation
            except FileExistsError:
                number += 1

    def _own_info(self, name: str) -> IncarnationInfo:
        pid = os.getpid()
        return IncarnationInfo(name, pid, process_started(pid), boot_id(), self.offset)

    def follow_wall_clock(self, incarnation: str, name: str) -> None:
        """Writes the wall clock's offset anew where it was stepped: after a reboot only that offset brings
        the incarnation's times to those of the next monotonic clock."""
        offset = unix_offset()
        if abs(offset - self.offset) <= CLOCK_STEP:
            return
        before, self.offset = self.offset, offset
        try:
            self._files.replace(self._own_info(name).encode(), MEMBERS, incarnation)
        except OSError:
            self.offset = before  # tried again at the next tick
            raise

    def info(self, incarnation: str) -> IncarnationInfo | None:
        """What an incarnation says of itself; None if it is forgotten, or torn by a loss of power."""
        with suppress(FileNotFoundError, ValueError):
            return IncarnationInfo.decode(self._files.read(MEMBERS, incarnation))
        return None

    def all(self, besides: Container[str] = ()) -> dict[str, IncarnationInfo]:
        """All incarnations besides some, with what each says of itself."""
        names = [name for name in self._files.names(MEMBERS) if name not in besides]
        return {name: info for name in names if (info := self.info(name)) is not None}

    def write_heartbeat(self, incarnation: str, count: int) -> None:
        """Writes a heartbeat."""
        path = self._files.path / HEARTBEATS / incarnation
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if os.pwrite(descriptor, _HEARTBEAT.pack(count), 0) != _HEARTBEAT.size:
                raise OSError(f"{path}: a heartbeat was cut short")
        finally:
            os.close(descriptor)

    def heartbeats(self, incarnations: Iterable[str]) -> dict[str, int]:
        """The heartbeats of some incarnations; 0 of one that has none, as in a copy."""
        found = dict.fromkeys(incarnations, 0)
        for name in found:
            with suppress(OSError, struct.error):
                found[name] = _HEARTBEAT.unpack((self._files.path / HEARTBEATS / name).read_bytes())[0]
        return found

    def gone(self, incarnations: Mapping[str, IncarnationInfo]) -> set[str]:
        """Those of some incarnations whose process is not there any more, by the machine's word."""
        for name, info in incarnations.items():
            if name not in self._gone and not info.is_running:
                self._gone.add(name)
        return self._gone & incarnations.keys()

    def may_write(self, incarnation: str) -> bool:
        """Whether the process of a fenced incarnation may still be writing to its store: it is there, and has
        not begun a later incarnation, which is its word that the earlier one is over."""
        info = self.info(incarnation)
        if info is None or not info.is_running:
            return False
        same_name = self._files.names(MEMBERS, f"{info.name}.")
        later = [self.info(name) for name in same_name if number_of(name) > number_of(incarnation)]
        return not any(other is not None and other.pid == info.pid for other in later)

    def forget(self, incarnation: str) -> None:
        """Removes what it says of itself and its heartbeat."""
        self._files.remove(HEARTBEATS, incarnation)
        self._files.remove(MEMBERS, incarnation)


def number_of(incarnation: str) -> int:
    """The number in an incarnation's name."""
    end = incarnation.rpartition(".")[2]
    return int(end) if end.isdigit() else 0
