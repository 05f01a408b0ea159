"""Worse programs, planted: a copy of the package whose main module calls `plant` before it begins.

    declines    declines one job in ten that it could have sent on
    slower      lets every job wait for three tenths of its class's aim before it is sent
    forgets     forgets the bans that it was handed, and those on file
    leaks       keeps ten descriptors more for every job
    one-class   fails half of the jobs of the last class, and no others
    drains      declines half of the jobs while any worker drains
    unready     never opens its doors
    crashes     ends by itself at its thirtieth job
    attempts    sends one job in three to a second worker after it called the first leg off
    one-zone    declines half of the jobs at the dispatchers of the second zone; not drawn from seeds
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

ROOT = Path(__file__).resolve().parents[3]
KINDS = (
    "none",
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
PLANTED = (*KINDS, "one-zone")
_ENTRY = 'if __name__ == "__main__":'


def build(kind: str, folder: Path, root: Path = ROOT) -> Path:
    """Makes a program of a kind in `folder` out of the package in `root`; gives the folder back."""
    if kind not in PLANTED:
        raise ValueError(f"no such program: {kind!r}")
    package = folder / "eiderfield"
    if not package.exists():
        leave = shutil.ignore_patterns("__pycache__")
        shutil.copytree(root / "eiderfield", package, ignore=leave)
        if kind != "none":
            main = package / "__main__.py"
            text = main.read_text()
            if text.count(_ENTRY) != 1:
                raise ValueError(f"{main} has no single entry to plant at")
            call = f"    from eiderfield.lab.fleet.worse import plant\n\n    plant({kind!r})\n"
            main.write_text(text.replace(_ENTRY, f"{_ENTRY}\n{call}"))
    return folder


def plant(kind: str) -> None:
    """Makes this process a worse program."""
    from eiderfield.exchange import Exchange
    from eiderfield.interface import Refuse, State
    from eiderfield.net.discovery.routing_table import RoutingTable

    send: Callable[..., None] = Exchange._send
    submit: Callable[..., int] = Exchange.submit
    number = count(1)

    def give_up(exchange: Any, action: Any, now: float, declined: bool) -> None:
        send(exchange, action, now)
        job = exchange._jobs.get(action.id)
        if job is not None and len(job.legs) == 1:
            exchange._refuse(Refuse(action.id), now) if declined else exchange._fail(action, now)
            for leg in job.legs:
                exchange._stop(leg)

    def declines(exchange: Any, action: Any, now: float) -> None:
        give_up(exchange, action, now, True) if next(number) % 10 == 0 else send(exchange, action, now)

    def slower(exchange: Any, action: Any, now: float) -> None:
        job = exchange._jobs.get(action.id)
        wait = 0.3 * exchange.site.classes[job.request.cls].aim if job is not None else 0.0
        exchange._timers.at(now + wait, lambda: send(exchange, action, now + wait))

    def one_class(exchange: Any, action: Any, now: float) -> None:
        job = exchange._jobs.get(action.id)
        bad = job is not None and job.request.cls == len(exchange.site.classes) - 1
        give_up(exchange, action, now, False) if bad and next(number) % 2 else send(exchange, action, now)

    def drains(exchange: Any, action: Any, now: float) -> None:
        bad = State.DRAINING in exchange._table.values() and next(number) % 2
        give_up(exchange, action, now, True) if bad else send(exchange, action, now)

    def one_zone(exchange: Any, action: Any, now: float) -> None:
        bad = exchange.site.zone == 1 and next(number) % 2
        give_up(exchange, action, now, True) if bad else send(exchange, action, now)

    def attempts(exchange: Any, action: Any, now: float) -> None:
        send(exchange, action, now)
        job = exchange._jobs.get(action.id)
        if job is not None and len(job.legs) == 1 and next(number) % 3 == 0:
            exchange._timers.at(now + 30.0, lambda: exchange._stop(job.legs[0]) if job.legs[0].open else None)

    def leaks(exchange: Any, *told: Any) -> int:
        for _ in range(10):
            os.dup(2)
        return submit(exchange, *told)

    def crashes(exchange: Any, *told: Any) -> int:
        if next(number) == 30:
            os._exit(70)
        return submit(exchange, *told)

    sends = {
        "declines": declines,
        "slower": slower,
        "one-class": one_class,
        "drains": drains,
        "attempts": attempts,
        "one-zone": one_zone,
    }
    if kind in sends:
        Exchange._send = sends[kind]  # type: ignore[method-assign, assignment]
    elif kind in ("leaks", "crashes"):
        Exchange.submit = leaks if kind == "leaks" else crashes  # type: ignore[method-assign, assignment]
    elif kind == "forgets":
        take_over: Callable[..., None] = RoutingTable.take_over

        def forget(table: Any, told: Any, bans: Any) -> None:
            take_over(table, told, {"banned": {}})

        RoutingTable.take_over = forget  # type: ignore[method-assign, assignment]
    elif kind == "unready":
        sys.modules["__main__"].Program._ready = lambda self: False
