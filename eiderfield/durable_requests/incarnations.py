"""The incarnations of the host's dispatchers: their names, which are never reused, processes and heartbeats.

    members/INCARNATION    its process id, the start of the process, the boot id of the machine, the wall
                           clock's offset
    beats/INCARNATION      its heartbeat count, in eight bytes

A process begins an incarnation (`n1.3`) when it joins, and another one after it was fenced.
"""

from __future__ import annotations

import json
import os
import re
import struct
from collections.abc import Container, Iterable, Mapping
from contextlib import suppress
from dataclasses import asdict, dataclass

from eiderfield.durable import PRIVATE_MODE
from eiderfield.durable_requests.errors import DispatcherNameError
from eiderfield.durable_requests.files import FolderFiles
from eiderfield.machine import boot_id, process_started, unix_offset

MEMBERS, HEARTBEATS = "members", "beats"
CLOCK_STEP_MS = 1000.0  # smallest change of the wall clock's offset that counts as a step
_HEARTBEAT = struct.Struct("<Q")
_PLAIN_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\Z")


@dataclass(frozen=True, slots=True)
class IncarnationInfo:
    """What an incarnation has recorded about itself. The names of the fields are stored."""

    name: str  # of the dispatcher
    pid: int
    started: str  # when its process began, in the kernel's ticks
    boot: str
    offset: float  # Unix time minus its monotonic clock, in ms
    marks_clients: bool = True  # for which requests its clients wait; earlier revisions do not

    def encode(self) -> str:
        """Return the stored form."""
        return json.dumps(asdict(self))

    @classmethod
    def decode(cls, text: str) -> IncarnationInfo:
        """Return the incarnation of a stored form. Raises `ValueError` if the form is torn."""
        try:
            fields = json.loads(text)
            return cls(
                name=str(fields["name"]),
                pid=int(fields["pid"]),
                started=str(fields["started"]),
                boot=str(fields["boot"]),
                offset=float(fields["offset"]),
                marks_clients=bool(fields.get("marks_clients", False)),
            )
        except (LookupError, TypeError) as error:
            raise ValueError(f"not an incarnation: {error}") from None

    @property
    def is_running(self) -> bool:
        """Whether its process is still running on this boot of the machine."""
        return self.boot == boot_id() and process_started(self.pid) == self.started


class Incarnations:
    """All incarnations in a folder."""

    def __init__(self, files: FolderFiles) -> None:
        """Use the folder of `files`."""
        self._files = files
        self._exited: set[str] = set()
        self.offset = unix_offset()  # the value that this process has written last

    def begin(self, name: str) -> str:
        """Begin an incarnation of a dispatcher and return its name.

        Raises `DispatcherNameError` if the dispatcher's name cannot be a file name.
        """
        if not _PLAIN_NAME.match(name):
            raise DispatcherNameError(name)
        self.offset = unix_offset()
        used = [*self._files.names(MEMBERS, f"{name}."), *self._files.names("fences", f"{name}.")]
        number = 1 + max(map(incarnation_number, used), default=0)
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

    def update_clock_offset(self, incarnation: str, name: str) -> None:
        """Record the wall clock's offset again after a step of the wall clock.

        After a reboot, only this offset can convert the incarnation's times to the new monotonic clock.
        """
        offset = unix_offset()
        if abs(offset - self.offset) <= CLOCK_STEP_MS:
            return
        offset_before, self.offset = self.offset, offset
        try:
            self._files.replace(self._own_info(name).encode(), MEMBERS, incarnation)
        except OSError:
            self.offset = offset_before  # the next tick tries again
            raise

    def info(self, incarnation: str) -> IncarnationInfo | None:
        """Return what an incarnation has recorded about itself, None if that is removed or torn."""
        with suppress(FileNotFoundError, ValueError):
            return IncarnationInfo.decode(self._files.read(MEMBERS, incarnation))
        return None

    def all(self, excluding: Container[str] = ()) -> dict[str, IncarnationInfo]:
        """Return all incarnations except `excluding`, with what each has recorded about itself."""
        names = [name for name in self._files.names(MEMBERS) if name not in excluding]
        return {name: info for name in names if (info := self.info(name)) is not None}

    def write_heartbeat(self, incarnation: str, count: int) -> None:
        """Write the heartbeat count of an incarnation."""
        path = self._files.path / HEARTBEATS / incarnation
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, PRIVATE_MODE)
        try:
            if os.pwrite(descriptor, _HEARTBEAT.pack(count), 0) != _HEARTBEAT.size:
                raise OSError(f"{path}: a heartbeat was cut short")
        finally:
            os.close(descriptor)

    def heartbeats(self, incarnations: Iterable[str]) -> dict[str, int]:
        """Return heartbeat counts, 0 for an incarnation without a readable count, as in a copied folder."""
        counts = dict.fromkeys(incarnations, 0)
        for name in counts:
            with suppress(OSError, struct.error):
                counts[name] = _HEARTBEAT.unpack((self._files.path / HEARTBEATS / name).read_bytes())[0]
        return counts

    def exited(self, incarnations: Mapping[str, IncarnationInfo]) -> set[str]:
        """Return the given incarnations whose process no longer runs."""
        for name, info in incarnations.items():
            if name not in self._exited and not info.is_running:
                self._exited.add(name)
        return self._exited & incarnations.keys()

    def may_write(self, incarnation: str) -> bool:
        """Return whether the process of a fenced incarnation may still write to its store.

        A running process that has begun a later incarnation writes only to the store of that one.
        """
        info = self.info(incarnation)
        if info is None or not info.is_running:
            return False
        same_name = self._files.names(MEMBERS, f"{info.name}.")
        later = [
            self.info(name)
            for name in same_name
            if incarnation_number(name) > incarnation_number(incarnation)
        ]
        return not any(other is not None and other.pid == info.pid for other in later)

    def remove(self, incarnation: str) -> None:
        """Remove what an incarnation has recorded about itself, and its heartbeat."""
        self._files.remove(HEARTBEATS, incarnation)
        self._files.remove(MEMBERS, incarnation)


def incarnation_number(incarnation: str) -> int:
    """Return the number in an incarnation's name, 0 if there is none."""
    end = incarnation.rpartition(".")[2]
    return int(end) if end.isdigit() else 0
