"""Faulty programs, planted: a copy of the package whose main module calls `plant` before it begins.

    declines    rejects one job in ten that it could have forwarded
    slower      lets every job wait for three tenths of its class's objective before it is forwarded
    forgets     forgets the bans that it was handed, and those on file
    leaks       keeps ten descriptors more for every job
    one-class   fails half of the jobs of the last class, and no others
    drains      rejects half of the jobs while any worker drains
    unready     never opens its listeners
    crashes     ends by itself at its thirtieth job
    attempts    sends one job in three to a second worker after it cancelled the first attempt
    one-zone    rejects half of the jobs at the dispatchers of the second zone; not drawn from seeds
    none        nothing: a good change that is another folder

Of the laboratory alone; nothing of the program imports it.
"""

from __future__ import annotations

import os
import shutil
import sys
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any

from eiderfield.exchange.exchange import Exchange
from eiderfield.interface import EndpointState, RejectRequest
from eiderfield.net.discovery.routing_table import RoutingTable

ROOT = Path(__file__).resolve().parents[3]
NO_FAULT = "none"
DRAWN = (
    NO_FAULT,
    "declines",
    "slower",
    "forgets",
    "leaks",
    "one-class",
    "drains",
    "unready",
    "crashes",
    "attempts",
)
ALL = (*DRAWN, "one-zone")

ENTRY = 'if __name__ == "__main__":'  # of the main module, where the fault is planted
EVERY_DECLINED = 10
EVERY_CANCELLED = 3
WAIT_SHARE = 0.3  # of a class's objective
CANCEL_AFTER_MS = 30.0
LEAKED_DESCRIPTORS = 10
LAST_JOB = 30
PLANTED = "planted"  # why an attempt is cancelled
CRASH_CODE = 70

send: Callable[..., None] = Exchange._send
submit: Callable[..., int] = Exchange.submit
take_over: Callable[..., None] = RoutingTable.take_over
number = count(1)


def build(kind: str, folder: Path, root: Path = ROOT) -> Path:
    """Makes a program of a kind in `folder` out of the package in `root`; gives the folder back."""
    if kind not in ALL:
        raise ValueError(f"no such program: {kind!r}")
    package = folder / "eiderfield"
    if package.exists():
        return folder
    shutil.copytree(root / "eiderfield", package, ignore=shutil.ignore_patterns("__pycache__"))
    if kind != NO_FAULT:
        plant_call(package / "__main__.py", kind)
    return folder


def plant_call(main: Path, kind: str) -> None:
    """Makes a main module call `plant` before it begins."""
    text = main.read_text()
    if text.count(ENTRY) != 1:
        raise ValueError(f"{main} has no single entry to plant at")
    call = f"    from eiderfield.lab.fleet.faulty_programs import plant\n\n    plant({kind!r})\n"
    main.write_text(text.replace(ENTRY, f"{ENTRY}\n{call}"))


def plant(kind: str) -> None:
    """Makes this process a faulty program."""
    exchange: Any = Exchange
    table: Any = RoutingTable
    if kind in FAULTY_SENDS:
        exchange._send = FAULTY_SENDS[kind]
    elif kind in FAULTY_SUBMITS:
        exchange.submit = FAULTY_SUBMITS[kind]
    elif kind == "forgets":
        table.take_over = forget_bans
    elif kind == "unready":
        program: Any = sys.modules["__main__"]
        program.Program._ready = lambda self: False


def end_early(exchange: Any, action: Any, now: float, rejected: bool) -> None:
    """Sends a job on, and ends it at once."""
    send(exchange, action, now)
    job = exchange._pending.get(action.id)
    if job is None or len(job.attempts) != 1:
        return
    if rejected:
        exchange._refuse(RejectRequest(action.id), now)
    else:
        exchange._fail(action, now)
    for leg in job.attempts:
        exchange._stop(leg, PLANTED)


def send_or_end_early(
    is_faulty: Callable[[Any, Any], bool], rejected: bool = True
) -> Callable[[Any, Any, float], None]:
    """A `send` that ends some jobs early."""

    def faulty_send(exchange: Any, action: Any, now: float) -> None:
        if is_faulty(exchange, action):
            end_early(exchange, action, now, rejected)
        else:
            send(exchange, action, now)

    return faulty_send


def one_in_ten(exchange: Any, action: Any) -> bool:
    """Whether it is a tenth job's turn."""
    return next(number) % EVERY_DECLINED == 0


def half_of_last_class(exchange: Any, action: Any) -> bool:
    """Whether the job is of the last class, and every second of them."""
    job = exchange._pending.get(action.id)
    is_last = job is not None and job.request.class_index == len(exchange.settings.classes) - 1
    return is_last and next(number) % 2 == 1


def half_while_draining(exchange: Any, action: Any) -> bool:
    """Whether any worker drains, and every second job then."""
    return EndpointState.DRAINING in exchange._table.values() and next(number) % 2 == 1


def half_in_second_zone(exchange: Any, action: Any) -> bool:
    """Whether the dispatcher is in the second zone, and every second job there."""
    return exchange.settings.zone_index == 1 and next(number) % 2 == 1


def send_late(exchange: Any, action: Any, now: float) -> None:
    """Forwards a job after a wait."""
    job = exchange._pending.get(action.id)
    wait = (
        WAIT_SHARE * exchange.settings.classes[job.request.class_index].latency_objective_ms
        if job is not None
        else 0.0
    )
    exchange._timers.at(now + wait, lambda: send(exchange, action, now + wait))


def send_twice(exchange: Any, action: Any, now: float) -> None:
    """Forwards a job, and cancels the first attempt of one in three."""
    send(exchange, action, now)
    job = exchange._pending.get(action.id)
    if job is None or len(job.attempts) != 1 or next(number) % EVERY_CANCELLED != 0:
        return
    first = job.attempts[0]
    exchange._timers.at(now + CANCEL_AFTER_MS, lambda: exchange._stop(first, PLANTED) if first.open else None)


def submit_and_leak(exchange: Any, *arguments: Any, **options: Any) -> int:
    """Takes a job, and keeps descriptors for ever."""
    for _ in range(LEAKED_DESCRIPTORS):
        os.dup(sys.stderr.fileno())
    return submit(exchange, *arguments, **options)


def submit_or_crash(exchange: Any, *arguments: Any, **options: Any) -> int:
    """Takes a job, or ends the process."""
    if next(number) == LAST_JOB:
        os._exit(CRASH_CODE)
    return submit(exchange, *arguments, **options)


def forget_bans(table: Any, state: Any, bans: Any) -> None:
    """Takes the list over from the process before, without its bans."""
    take_over(table, state, {})


FAULTY_SENDS: dict[str, Callable[[Any, Any, float], None]] = {
    "declines": send_or_end_early(one_in_ten),
    "slower": send_late,
    "one-class": send_or_end_early(half_of_last_class, rejected=False),
    "drains": send_or_end_early(half_while_draining),
    "attempts": send_twice,
    "one-zone": send_or_end_early(half_in_second_zone),
}
FAULTY_SUBMITS: dict[str, Callable[..., int]] = {"leaks": submit_and_leak, "crashes": submit_or_crash}
