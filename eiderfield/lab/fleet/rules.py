"""The rules, judged from the workers' and the clients' event logs, knowing nothing of the program's own.

A finding names its rule, the job and what the logs say. What a fault excuses is excused by the list of faults
that were injected, by time and target, and by nothing else:

    answered   what a dispatcher accepted, it answers before the client's time is over
    lost       with custody, every job gets an answer, whoever was lost meanwhile (but who was stopped)
    one        with custody, all that is served of a job is one result
    made       a served result is one that a worker made for that job
    once       a client's attempt begins as often as its class allows, never in two groups of a key's workers
    copies     no two attempts at workers of one request are out at once
    declined   nobody is told that asking again is harmless when the job began and may not run twice
    drain      nothing new comes to a worker later than the grace after its dispatcher was notified
    cold       a worker that has just started is not sent more than it bears, by all dispatchers together
    rest       when all is over no dispatcher holds a job, a client's connection or too many descriptors
    ends       dispatchers that no fault ended are there, and end with 0 when told to
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from itertools import pairwise
from math import inf

from eiderfield.lab.fleet.event_log import Event
from eiderfield.lab.fleet.scenario import Scenario

LOG_SLACK_S = 0.5  # by which an event may be written down later than it was
DRAIN_SLACK_MS = 50.0  # beyond the grace, as on the operators' benches
COLD_SLACK = 1.15  # of a cold worker's allowance, for chance
ATTEMPT_ENDS = frozenset({"ended", "unread", "dropped", "lost", "parted"})  # after which one is not out
TOGETHER_S = 0.1  # by which a worker may hear of an attempt's end later than another of the next one
MAX_RUNS = 4  # of one request, as the fleet's settings limit its attempts
SPARE_DESCRIPTORS = 40  # that a dispatcher may hold more than at its start: kept connections to workers
WAIT_PLACES = 2  # jobs that wait at a worker beyond its slots, each on a connection
STORE_DESCRIPTORS = 21  # for stores of other incarnations, with custody
REJECTED = (429, 503)
CLIENT_ENDS = ("answered", "broke", "left")  # of attempts that a dispatcher had


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault that was carried out on `who`, from `since` to `until` (inf: until the end)."""

    what: str
    who: str
    since: float
    until: float = inf


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken rule."""

    rule: str
    job: str
    text: str


@dataclass(frozen=True, slots=True)
class FinalState:
    """What a dispatcher was found to hold after a run, and how it ended."""

    name: str
    inflight: int
    connections: int
    descriptors: int
    descriptors_at_start: int
    code: int | None  # of its end; None if it was gone before


def judge(
    scenario: Scenario,
    workers: Sequence[Event],
    clients: Sequence[Event],
    faults: Sequence[InjectedFault],
    rest: Iterable[FinalState],
) -> list[Finding]:
    """All findings, in the order of the rules."""
    effects = {job_class.name: job_class.effect for job_class in scenario.job_classes}
    return [
        *_answered(clients, faults),
        *_lost(scenario, clients, faults),
        *_made(workers, clients),
        *_once(workers, effects),
        *_copies(workers, faults),
        *_declined(workers, clients, effects),
        *_drain(scenario, workers, faults),
        *_cold(scenario, workers),
        *_rest(scenario, rest, faults),
    ]


def _excused(faults: Sequence[InjectedFault], targets: Iterable[str], since: float, until: float) -> bool:
    """Whether a fault of one of the targets overlaps a time."""
    names = set(targets)
    latest, earliest = until + LOG_SLACK_S, since - LOG_SLACK_S
    return any(fault.who in names and fault.since <= latest and fault.until >= earliest for fault in faults)


def _answered(clients: Sequence[Event], faults: Sequence[InjectedFault]) -> Iterable[Finding]:
    asked = {_attempt_of(event): event for event in clients if event["what"] == "asked"}
    ends = {_attempt_of(event): event for event in clients if event["what"] in CLIENT_ENDS}
    for attempt, event in asked.items():
        end = ends.get(attempt)
        if end is not None and end["what"] == "answered":
            continue
        until = end["t"] if end is not None else event["t"] + event["left"]
        dispatcher = event["at"]
        if not _excused(faults, (dispatcher, f"c>{dispatcher}"), event["t"], until):
            how = "no end" if end is None else end["what"]
            text = f"{event['id']} at {dispatcher}: {how} after {until - event['t']:.2f} s"
            yield Finding("answered", event["job"], text)


def _attempt_of(event: Event) -> tuple[str, str]:
    """What names a client's attempt."""
    return event["id"], event.get("try", "")


def _lost(scenario: Scenario, clients: Sequence[Event], faults: Sequence[InjectedFault]) -> Iterable[Finding]:
    """Of jobs in custody: whoever asks again as long as there is time gets the one answer of the job.

    Who waits at a dispatcher that is stopped hears of nothing, and does not ask again.
    """
    stops = [s for s in faults if s.what == "stop"]
    left = {e["job"]: e for e in clients if e["what"] == "left"}
    if not scenario.custody:
        return
    told: dict[str, list[Event]] = defaultdict(list)
    asked = {event["job"]: event for event in clients if event["what"] == "asked"}
    for event in clients:
        if event["what"] == "answered" and event["status"] not in REJECTED:
            told[event["job"]].append(event)
    for job, event in asked.items():
        heard = told[job] or any(e["what"] == "answered" and e["job"] == job for e in clients)
        end = left.get(job)
        if not heard and not (end and _excused(stops, (end["at"],), event["t"], end["t"])):
            yield Finding("lost", job, f"{event['kind']}, asked last at {event['at']}, was never answered")
        results = {e["result"] for e in told[job] if e["status"] == HTTPStatus.OK}
        if len(results) > 1:
            yield Finding("one", job, f"it was served {' and '.join(sorted(results))}")


def _made(workers: Sequence[Event], clients: Sequence[Event]) -> Iterable[Finding]:
    made = {event["result"]: event["job"] for event in workers if event["what"] in ("ended", "unread")}
    for event in clients:
        served = event["what"] == "answered" and event["status"] == HTTPStatus.OK
        if served and made.get(event["result"]) != event["job"]:
            text = f"{event['id']} was served {event['result']!r}, made by no worker"
            yield Finding("made", event["job"], text)


def _once(workers: Sequence[Event], effects: dict[str, str]) -> Iterable[Finding]:
    begun = defaultdict(list)
    for event in workers:
        if event["what"] == "began":
            begun[event["id"]].append(event)
    for id_, events in begun.items():
        first = events[0]
        most = 1 if effects[first["kind"]] == "fragile" else MAX_RUNS
        if len(events) > most:
            yield Finding("once", first["job"], f"{id_}, {first['kind']}, began {len(events)} times")
        if effects[first["kind"]] == "dedup" and len({event["group"] for event in events}) > 1:
            groups = sorted({event["group"] for event in events})
            yield Finding("once", first["job"], f"{id_} began in groups {groups}")


def _copies(workers: Sequence[Event], faults: Sequence[InjectedFault]) -> Iterable[Finding]:
    """An attempt is cancelled and another sent in one turn, over links of their own.

    That the second comes in a moment before the end of the first is no copy, nor that the first comes in
    after the second and ends at once (seen with 40 dispatchers on 8 cores). Over a cut or slow link a
    worker hears of the end late.
    """
    out: dict[tuple[str, str, str], float] = {}  # by request, dispatcher and worker: since when
    attempts: dict[tuple[str, str], list[tuple[float, float, str]]] = defaultdict(list)  # from, to, worker
    jobs: dict[tuple[str, str], str] = {}
    for event in workers:
        if event["what"] == "came":
            out[event["id"], event["by"], event["worker"]] = event["t"]
            jobs[event["id"], event["by"]] = event["job"]
        elif event["what"] in ATTEMPT_ENDS:
            since = out.pop((event["id"], event["by"], event["worker"]), None)
            if since is not None:
                attempts[event["id"], event["by"]].append((since, event["t"], event["worker"]))
    for (id_, by, worker), since in out.items():
        attempts[id_, by].append((since, inf, worker))
    for (id_, by), found in attempts.items():
        found.sort()
        for (since, until, worker), (next_, ends, other) in pairwise(found):
            slow = _excused(faults, (f"{by}>{worker}",), since, next_)
            if min(until, ends) > next_ + TOGETHER_S and not slow:
                text = f"{id_} is out at {worker} and {other} at once"
                yield Finding("copies", jobs[id_, by], text)


def _declined(
    workers: Sequence[Event], clients: Sequence[Event], effects: dict[str, str]
) -> Iterable[Finding]:
    began = {event["id"]: event["t"] for event in workers if event["what"] == "began"}
    for event in clients:
        declined = event["what"] == "answered" and event["status"] in REJECTED
        if declined and effects[event["kind"]] != "retryable" and began.get(event["id"], inf) < event["t"]:
            yield Finding("declined", event["job"], f"{event['id']} was declined though it had begun")


def _drain(
    scenario: Scenario, workers: Sequence[Event], faults: Sequence[InjectedFault]
) -> Iterable[Finding]:
    grace = (scenario.drain_grace + DRAIN_SLACK_MS) / 1000.0
    told: dict[tuple[str, str], float] = {}  # by dispatcher and worker: since when it wants nothing new
    for event in workers:
        if event["what"] == "told":
            for name, status in event["workers"].items():
                if status == "SERVING":
                    told.pop((event["to"], name), None)
                else:
                    told.setdefault((event["to"], name), event["t"])
        elif event["what"] == "came":
            by, worker = event["by"], event["worker"]
            since = told.get((by, worker), inf)
            links = (by, f"{by}>source", f"{by}>{worker}")
            if event["t"] > since + grace and not _excused(faults, links, since, event["t"]):
                text = f"{event['id']} came to {worker} {event['t'] - since:.2f} s after {by} was told"
                yield Finding("drain", event["job"], text)


def cold_use(scenario: Scenario, workers: Sequence[Event]) -> Iterable[tuple[Event, float, float]]:
    """Yield each attempt at a warming worker, with the used share of its slow start budget and its age in s.

    The share is of what rule 4 allows all dispatchers
    together to send the worker within the recovery ramp; the
    rule is broken above 1.
    """
    started: dict[str, float] = {}
    sent: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in workers:
        if event["what"] == "mended" and event["fault"] in ("restart", "gone"):
            started[event["worker"]] = event["t"]
            sent[event["worker"]].clear()
        elif event["what"] == "came" and (since := started.get(event["worker"])) is not None:
            age = event["t"] - since
            if age > scenario.cold / 1000.0:
                continue
            recent = sent[event["worker"]]
            recent.append((event["t"], event["run"] * event.get("slots", 1)))
            window = sum(run for t, run in recent if t > event["t"] - scenario.fall / 1000.0)
            yield (
                event,
                window / (scenario.fall_multiple * scenario.slots * event["share"] * scenario.fall),
                age,
            )


def _cold(scenario: Scenario, workers: Sequence[Event]) -> Iterable[Finding]:
    for event, used, age in cold_use(scenario, workers):
        if used > COLD_SLACK:
            text = f"{event['worker']} was sent {used:.0%} of what it bears, {age:.2f} s after its start"
            yield Finding("cold", event["job"], text)


def _rest(
    scenario: Scenario, rest: Iterable[FinalState], faults: Sequence[InjectedFault]
) -> Iterable[Finding]:
    # A survivor keeps connections for all that the workers can hold, and stores of other incarnations open.
    more = max(
        SPARE_DESCRIPTORS, scenario.workers * (scenario.slots + WAIT_PLACES)
    ) + STORE_DESCRIPTORS * bool(scenario.custody)
    ended = {s.who for s in faults if s.what in ("kill", "term") and s.until == inf}
    for found in rest:
        if found.name in ended:
            continue
        if found.inflight or found.connections:
            text = f"{found.name} holds {found.inflight} jobs and {found.connections} connections"
            yield Finding("rest", "", text)
        if found.descriptors > found.descriptors_at_start + more:
            first = found.descriptors_at_start
            text = f"{found.name} holds {found.descriptors} descriptors, {first} at its start"
            yield Finding("rest", "", text)
        if found.code != 0:
            yield Finding("ends", "", f"{found.name} ended with {found.code}")
