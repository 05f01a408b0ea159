"""What the machine says of its boot, its clocks and its processes.

Spans of time are told by clocks that nobody steps. The wall clock is read in `unix_ms` alone: for people, for
what others tell in Unix time, and to bring times across a reboot, where no steady clock goes on.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

READING = 1.0  # ms from which on reading two clocks took too long
READINGS = 5  # of two clocks at the most

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_TICKS = float(os.sysconf("SC_CLK_TCK"))  # of the kernel's process table, in a second
_STATE, _STARTED = 0, 19  # fields of /proc/PID/stat after the name


def boot_id() -> str:
    """Names this run of the machine: steady clocks and process numbers begin anew with it."""
    with suppress(OSError):
        return _BOOT_ID.read_text().strip()
    return ""


def steady_ms() -> float:
    """The steady clock, which all processes of the machine share, in ms."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Unix time as the wall clock shows it now, in ms."""
    return time.time() * 1000.0


def unix_offset() -> float:
    """From the steady clock to Unix time now, in ms: a step of the wall clock changes it."""
    return offset_between(steady_ms, unix_ms)


def offset_between(clock: Callable[[], float], other: Callable[[], float]) -> float:
    """What the second clock is ahead of the first now, in ms.

    A process may be held up while it reads them: then it reads them again, and the closest reading counts.
    """
    closest, offset = READING, 0.0
    for reading in range(READINGS):
        before = clock()
        shown = other()
        after = clock()
        if reading == 0 or after - before < closest:
            closest, offset = after - before, shown - (before + after) / 2.0
        if closest < READING:
            break
    return offset


def process_started(pid: int) -> str:
    """When a process began, in the kernel's ticks since the boot; '' if it is over. Numbers come again."""
    with suppress(OSError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return "" if fields[_STATE] in "ZXx" else fields[_STARTED]
    return ""


def process_age(pid: int) -> float:
    """How long a process has been there, in s; 0 if it is over."""
    started = process_started(pid)
    if not started:
        return 0.0
    return max(0.0, time.clock_gettime(time.CLOCK_BOOTTIME) - float(started) / _TICKS)
