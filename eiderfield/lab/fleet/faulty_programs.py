"""Builds faulty programs for rollout tests: copies of the package whose main module first calls `plant`.

`plant` replaces methods of the process by faulty ones. The kinds of programs, and what each does:

    declines    rejects one request in ten that it could have forwarded
    slower      delays every attempt by three tenths of its class's latency objective
    forgets     drops the bans that it received in a handover, and those on file
    leaks       opens ten descriptors for every request and never closes them
    one-class   fails half of the requests of the last class, and no others
    drains      rejects half of the requests while any worker is draining
    unready     never opens its listeners
    crashes     exits at its thirtieth request
    attempts    cancels the first attempt of one request in three, so that it goes to a second worker
    one-zone    rejects half of the requests at the dispatchers of the second zone; not drawn from seeds
    none        has no fault; the program only runs from another folder

Only the laboratory uses this module; the dispatcher does not import it.
"""

from __future__ import annotations

import os
import shutil
import sys
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any

from eiderfield.exchange.actions import ActionExecutor
from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import PendingRequest
from eiderfield.interface import EndpointState, FailRequest, RejectRequest, StartAttempt
from eiderfield.net.discovery.routing_table import RoutingTable

ROOT = Path(__file__).resolve().parents[3]
NO_FAULT = "none"
DRAWN = (  # kinds that `rollout_draw.py` draws from
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

FaultyStart = Callable[[ActionExecutor, StartAttempt, float], None]

ENTRY = 'if __name__ == "__main__":'  # in the main module; the call of `plant` goes right below it
DECLINE_INTERVAL = 10  # attempts, of which one is rejected
CANCEL_INTERVAL = 3  # requests, of which one has its first attempt cancelled
DELAY_SHARE = 0.3  # of a class's latency objective
CANCEL_AFTER_MS = 30.0
LEAKED_DESCRIPTORS = 10
CRASH_AT_REQUEST = 30
PLANTED = "planted"  # reason of a cancelled attempt
CRASH_CODE = 70

# The original methods, which the faulty ones call.
start_attempt = ActionExecutor.start_attempt
submit: Callable[..., int] = Exchange.submit
take_over: Callable[..., None] = RoutingTable.take_over
call_numbers = count(1)  # of the calls that decide whether a request gets the fault


def build(kind: str, folder: Path, root: Path = ROOT) -> Path:
    """Copy the package in `root` to `folder`, plant a fault in it and return the folder.

    Raises `ValueError` for an unknown kind.
    """
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
    """Insert a call of `plant` at the entry of a main module.

    Raises `ValueError` unless the module has exactly one entry.
    """
    text = main.read_text()
    if text.count(ENTRY) != 1:
        raise ValueError(f"{main} does not have exactly one entry point")
    call = f"    from eiderfield.lab.fleet.faulty_programs import plant\n\n    plant({kind!r})\n"
    main.write_text(text.replace(ENTRY, f"{ENTRY}\n{call}"))


def plant(kind: str) -> None:
    """Replace methods of this process so that it has the fault `kind`."""
    executor: Any = ActionExecutor
    exchange: Any = Exchange
    table: Any = RoutingTable
    if kind in FAULTY_STARTS:
        executor.start_attempt = FAULTY_STARTS[kind]
    elif kind in FAULTY_SUBMITS:
        exchange.submit = FAULTY_SUBMITS[kind]
    elif kind == "forgets":
        table.take_over = forget_bans
    elif kind == "unready":
        program: Any = sys.modules["__main__"]
        program.Program.is_ready = lambda _: False


def end_early(executor: ActionExecutor, action: StartAttempt, now: float, rejected: bool) -> None:
    """Start an attempt and, if it is the first of its request, end the request at once."""
    start_attempt(executor, action, now)
    pending = executor.requests.pending.get(action.request_id)
    if pending is None or len(pending.attempts) != 1:
        return
    if rejected:
        executor.reject_request(RejectRequest(action.request_id))
    else:
        executor.fail_request(FailRequest(action.request_id))
    executor.attempts.stop_all(pending, PLANTED)


def start_or_end_early(
    is_faulty: Callable[[ActionExecutor, PendingRequest | None], bool], rejected: bool = True
) -> FaultyStart:
    """Return a `start_attempt` that ends early each request for which `is_faulty` returns True.

    Such requests are rejected if `rejected`, otherwise they fail.
    """

    def faulty_start(executor: ActionExecutor, action: StartAttempt, now: float) -> None:
        if is_faulty(executor, executor.requests.pending.get(action.request_id)):
            end_early(executor, action, now, rejected)
        else:
            start_attempt(executor, action, now)

    return faulty_start


def every_tenth(*_: object) -> bool:
    """Return True for every tenth attempt."""
    return next(call_numbers) % DECLINE_INTERVAL == 0


def half_of_last_class(executor: ActionExecutor, pending: PendingRequest | None) -> bool:
    """Return True for every second attempt of a request of the last class."""
    last_class = len(executor.context.settings.classes) - 1
    return pending is not None and pending.request.class_index == last_class and next(call_numbers) % 2 == 1


def half_while_draining(executor: ActionExecutor, *_: object) -> bool:
    """Return True for every second attempt while any worker is draining."""
    return EndpointState.DRAINING in executor.endpoints.states.values() and next(call_numbers) % 2 == 1


def half_in_second_zone(executor: ActionExecutor, *_: object) -> bool:
    """Return True for every second attempt of a dispatcher in the second zone."""
    return executor.context.settings.zone_index == 1 and next(call_numbers) % 2 == 1


def start_late(executor: ActionExecutor, action: StartAttempt, now: float) -> None:
    """Start an attempt after a delay of `DELAY_SHARE` of its class's latency objective."""
    pending = executor.requests.pending.get(action.request_id)
    delay = 0.0
    if pending is not None:
        cls = executor.context.settings.classes[pending.request.class_index]
        delay = DELAY_SHARE * cls.latency_objective_ms
    executor.context.timers.call_at(now + delay, lambda: start_attempt(executor, action, now + delay))


def start_and_cancel(executor: ActionExecutor, action: StartAttempt, now: float) -> None:
    """Start an attempt; for one request in three, cancel its first attempt after `CANCEL_AFTER_MS`."""
    start_attempt(executor, action, now)
    pending = executor.requests.pending.get(action.request_id)
    if pending is None or len(pending.attempts) != 1 or next(call_numbers) % CANCEL_INTERVAL != 0:
        return
    first = pending.attempts[0]
    executor.context.timers.call_at(now + CANCEL_AFTER_MS, lambda: executor.attempts.stop(first, PLANTED))


def submit_and_leak(exchange: Any, *arguments: Any, **options: Any) -> int:
    """Submit a request and leak `LEAKED_DESCRIPTORS` descriptors."""
    for _ in range(LEAKED_DESCRIPTORS):
        os.dup(sys.stderr.fileno())
    return submit(exchange, *arguments, **options)


def submit_or_crash(exchange: Any, *arguments: Any, **options: Any) -> int:
    """Submit a request; exit the process at request number `CRASH_AT_REQUEST`."""
    if next(call_numbers) == CRASH_AT_REQUEST:
        os._exit(CRASH_CODE)
    return submit(exchange, *arguments, **options)


def forget_bans(table: Any, state: Any, *_: object) -> None:
    """Take over the endpoint list of the previous process without its bans."""
    take_over(table, state, {})


FAULTY_STARTS: dict[str, FaultyStart] = {
    "declines": start_or_end_early(every_tenth),
    "slower": start_late,
    "one-class": start_or_end_early(half_of_last_class, rejected=False),
    "drains": start_or_end_early(half_while_draining),
    "attempts": start_and_cancel,
    "one-zone": start_or_end_early(half_in_second_zone),
}
FAULTY_SUBMITS: dict[str, Callable[..., int]] = {"leaks": submit_and_leak, "crashes": submit_or_crash}
