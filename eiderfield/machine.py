"""Reads the boot id, the clocks and the processes of this host.

Durations are measured by the monotonic clock. Only `unix_ms` reads the wall clock: for times that people see,
for times that others give in Unix time, and to keep times across a reboot, which resets the monotonic clock.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

MAX_READING_MS = 1.0  # a reading of two clocks that takes longer is repeated
MAX_READINGS = 5

_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_TICKS_PER_S = float(os.sysconf("SC_CLK_TCK"))  # of the start times in /proc/PID/stat
_STATE, _STARTED = 0, 19  # positions in /proc/PID/stat after the process name


def boot_id() -> str:
    """Return the id of the current boot, '' if unknown. Monotonic times and pids are valid for one boot."""
    with suppress(OSError):
        return _BOOT_ID.read_text().strip()
    return ""


def steady_ms() -> float:
    """Return the monotonic clock in ms; all processes of the host share it."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Return the wall clock as Unix time, in ms."""
    return time.time() * 1000.0


def unix_offset() -> float:
    """Return Unix time less the monotonic clock, in ms; a step of the wall clock changes it."""
    return offset_between(steady_ms, unix_ms)


def offset_between(clock: Callable[[], float], other: Callable[[], float]) -> float:
    """Return how far `other` is ahead of `clock`, in ms.

    The process may be preempted between two readings: slow ones are repeated, and the fastest counts.
    """
    closest, offset = MAX_READING_MS, 0.0
    for reading in range(MAX_READINGS):
        before = clock()
        other_now = other()
        after = clock()
        if reading == 0 or after - before < closest:
            closest, offset = after - before, other_now - (before + after) / 2.0
        if closest < MAX_READING_MS:
            break
    return offset


def process_started(pid: int) -> str:
    """Return the start of a process in clock ticks since the boot, '' if it has ended.

    It tells a process from a later one with the same pid.
    """
    with suppress(OSError, IndexError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return "" if fields[_STATE] in "ZXx" else fields[_STARTED]
    return ""


def process_age(pid: int) -> float:
    """Return the age of a process in s, 0 if it has ended."""
    started = process_started(pid)
    if not started:
        return 0.0
    return max(0.0, time.clock_gettime(time.CLOCK_BOOTTIME) - float(started) / _TICKS_PER_S)
