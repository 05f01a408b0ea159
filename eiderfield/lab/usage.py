"""What a process costs, read from /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used so far, and holds."""

    processor: float  # s, in user and kernel mode
    private: int  # bytes of memory that are its own
    descriptors: int


def usage(pid: int) -> Usage:
    """Of a process that runs; raises `OSError` for one that does not."""
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    private = 0
    for line in (folder / "smaps_rollup").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name in ("Private_Clean", "Private_Dirty"):
            private += int(rest.split()[0]) * 1024
    return Usage((int(fields[11]) + int(fields[12])) / TICKS, private, open_descriptors(pid))


def socket_memory() -> int:
    """Bytes that the kernel holds for the buffers of all TCP sockets of this machine."""
    for line in Path("/proc/net/sockstat").read_text().splitlines():
        if line.startswith("TCP:"):
            words = line.split()
            return int(words[words.index("mem") + 1]) * PAGE
    return 0


def slab_memory() -> int:
    """Bytes of the kernel's objects on this machine, sockets among them: a rough figure."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("Slab:"):
            return int(line.split()[1]) * 1024
    return 0


def processor_seconds(pid: int) -> float:
    """Seconds in user and kernel mode that a process has used so far."""
    fields = (Path("/proc") / str(pid) / "stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def peak_memory(pid: int) -> int:
    """The most bytes of memory that a process has had resident at one time."""
    for line in (Path("/proc") / str(pid) / "status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0]) * 1024
    raise OSError(f"process {pid} has no VmHWM")


def open_descriptors(pid: int) -> int:
    """The descriptors that a process has open."""
    return len(list((Path("/proc") / str(pid) / "fd").iterdir()))
