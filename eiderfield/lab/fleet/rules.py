"""The rules that a run of the fleet must keep, checked against the event logs of its workers and clients.

The dispatchers' own logs are not used, and their metrics for `rest` alone. A breach is reported as a
finding, with the name of its rule, the job and what the logs show. It is excused only by a fault that was
injected on one of the processes or links concerned and that overlaps it in time.

    answered   a dispatcher answers every attempt that it accepted before the client's deadline
    lost       with custody, every job gets an answer, unless the client timed out at a stopped dispatcher
    one        with custody, all successful answers to a job carry the same result
    made       a result that a client received was produced by a worker for the same job
    once       an attempt of a client begins at workers no more often than its class allows, and, if its class
               is `dedup`, in one worker group only
    copies     a dispatcher has no two attempts of one request open at workers at the same time
    declined   a job that has begun and must not run twice is not rejected as safe to retry
    drain      once a dispatcher was notified that a worker is not serving and the grace is over, no further
               attempt from this dispatcher reaches the worker
    cold       all dispatchers together do not exceed the slow start budget of a worker that has just started
    rest       after the run a dispatcher holds no request, no client connection and no excess descriptors
    ends       a dispatcher that no fault ended exits with code 0 on SIGTERM
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

LOG_DELAY_S = 0.5  # an event may be logged this much after it happened
DRAIN_TOLERANCE_MS = 50.0  # beyond the grace; the operators' benches allow the same
# Factor over the budget: dispatchers do not communicate, so that their total work varies by chance.
SLOW_START_TOLERANCE = 1.15
ATTEMPT_ENDS = frozenset({"ended", "unread", "dropped", "lost", "parted"})  # events that close an attempt
# A worker may see the end of an attempt this much later than another worker sees the next attempt.
REORDERING_TOLERANCE_S = 0.1
MAX_ATTEMPTS_AT_WORKERS = 4  # per request; equals `max_attempts` in the settings of the fleet's dispatchers
SPARE_DESCRIPTORS = 40  # over the number at the start, for connections to workers that are kept open
QUEUED_PER_WORKER = 2  # jobs that wait at a worker beyond its slots, each on a connection of its own
STORE_DESCRIPTORS = 21  # with custody, for the stores of other incarnations
REJECTED = (429, 503)
ACCEPTED_ATTEMPT_ENDS = ("answered", "broke", "left")  # without `shut`: no dispatcher accepted the attempt


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault that was injected on `who` from `since` to `until` (inf: until the end of the run)."""

    what: str
    who: str
    since: float
    until: float = inf


@dataclass(frozen=True, slots=True)
class Finding:
    """A breach of a rule."""

    rule: str
    job: str
    text: str


@dataclass(frozen=True, slots=True)
class FinalState:
    """The resources that a dispatcher held after a run, and its exit code."""

    name: str
    inflight: int
    connections: int
    descriptors: int
    descriptors_at_start: int
    code: int | None  # exit code; None if the process was no longer there


def check_rules(
    scenario: Scenario,
    workers: Sequence[Event],
    clients: Sequence[Event],
    faults: Sequence[InjectedFault],
    final_states: Iterable[FinalState],
) -> list[Finding]:
    """Return the breaches of all rules, rule by rule."""
    effects = {job_class.name: job_class.effect for job_class in scenario.job_classes}
    return [
        *_check_accepted_attempts_answered(clients, faults),
        *_check_custody_answers(scenario, clients, faults),
        *_check_results_produced(workers, clients),
        *_check_execution_count(workers, effects),
        *_check_concurrent_attempts(workers, faults),
        *_check_rejections(workers, clients, effects),
        *_check_drain_grace(scenario, workers, faults),
        *_check_slow_start_budget(scenario, workers),
        *_check_resources_released(scenario, final_states, faults),
    ]


def _is_excused(faults: Sequence[InjectedFault], targets: Iterable[str], since: float, until: float) -> bool:
    """Return whether a fault on one of the targets overlaps the interval."""
    names = set(targets)
    latest, earliest = until + LOG_DELAY_S, since - LOG_DELAY_S
    return any(fault.who in names and fault.since <= latest and fault.until >= earliest for fault in faults)


def _check_accepted_attempts_answered(
    clients: Sequence[Event], faults: Sequence[InjectedFault]
) -> Iterable[Finding]:
    requests = {_attempt_key(event): event for event in clients if event["what"] == "asked"}
    ends = {_attempt_key(event): event for event in clients if event["what"] in ACCEPTED_ATTEMPT_ENDS}
    for attempt, event in requests.items():
        end = ends.get(attempt)
        if end is not None and end["what"] == "answered":
            continue
        until = end["t"] if end is not None else event["t"] + event["left"]
        dispatcher = event["at"]
        if not _is_excused(faults, (dispatcher, f"c>{dispatcher}"), event["t"], until):
            how = "no end" if end is None else end["what"]
            text = f"{event['id']} at {dispatcher}: {how} after {until - event['t']:.2f} s"
            yield Finding("answered", event["job"], text)


def _attempt_key(event: Event) -> tuple[str, str]:
    """Return the id of a client's attempt and its name; with `one_id` a job's attempts share the id."""
    return event["id"], event.get("try", "")


def _check_custody_answers(
    scenario: Scenario, clients: Sequence[Event], faults: Sequence[InjectedFault]
) -> Iterable[Finding]:
    """Check that with custody every job gets an answer, and that all its successful answers are the same.

    A client whose dispatcher is stopped (SIGSTOP) sees neither an answer nor a broken connection, and does
    not retry. Its job may remain without an answer.
    """
    stops = [fault for fault in faults if fault.what == "stop"]
    timeouts = {e["job"]: e for e in clients if e["what"] == "left"}
    if not scenario.custody:
        return
    answers: dict[str, list[Event]] = defaultdict(list)
    requests = {event["job"]: event for event in clients if event["what"] == "asked"}
    for event in clients:
        if event["what"] == "answered" and event["status"] not in REJECTED:
            answers[event["job"]].append(event)
    for job, event in requests.items():
        is_answered = answers[job] or any(e["what"] == "answered" and e["job"] == job for e in clients)
        timeout = timeouts.get(job)
        if not is_answered and not (
            timeout and _is_excused(stops, (timeout["at"],), event["t"], timeout["t"])
        ):
            yield Finding("lost", job, f"{event['kind']}, sent last to {event['at']}, was never answered")
        results = {e["result"] for e in answers[job] if e["status"] == HTTPStatus.OK}
        if len(results) > 1:
            yield Finding(
                "one", job, f"it was answered with several results: {' and '.join(sorted(results))}"
            )


def _check_results_produced(workers: Sequence[Event], clients: Sequence[Event]) -> Iterable[Finding]:
    jobs = {event["result"]: event["job"] for event in workers if event["what"] in ("ended", "unread")}
    for event in clients:
        is_success = event["what"] == "answered" and event["status"] == HTTPStatus.OK
        if is_success and jobs.get(event["result"]) != event["job"]:
            text = f"{event['id']} received {event['result']!r}, which no worker produced for this job"
            yield Finding("made", event["job"], text)


def _check_execution_count(workers: Sequence[Event], effects: dict[str, str]) -> Iterable[Finding]:
    begun = defaultdict(list)
    for event in workers:
        if event["what"] == "began":
            begun[event["id"]].append(event)
    for id_, events in begun.items():
        first = events[0]
        limit = 1 if effects[first["kind"]] == "fragile" else MAX_ATTEMPTS_AT_WORKERS
        if len(events) > limit:
            yield Finding("once", first["job"], f"{id_}, {first['kind']}, began {len(events)} times")
        if effects[first["kind"]] == "dedup" and len({event["group"] for event in events}) > 1:
            groups = sorted({event["group"] for event in events})
            yield Finding("once", first["job"], f"{id_} began in several worker groups: {groups}")


def _check_concurrent_attempts(
    workers: Sequence[Event], faults: Sequence[InjectedFault]
) -> Iterable[Finding]:
    """Check that a dispatcher has no two attempts of one request open at workers at the same time.

    A dispatcher cancels an attempt and sends the next one in the same turn, on different connections, so
    that two workers may see the two events in either order. Two cases within `REORDERING_TOLERANCE_S` are
    therefore no breach: the second attempt arrives shortly before the first one ends; the first attempt
    arrives after the second one and ends at once (seen with 40 dispatchers on 8 cores). On a cut or slow
    link the worker sees the end late, which excuses the overlap.
    """
    open_since: dict[tuple[str, str, str], float] = {}  # by request, dispatcher and worker
    attempts: dict[tuple[str, str], list[tuple[float, float, str]]] = defaultdict(list)  # from, to, worker
    jobs: dict[tuple[str, str], str] = {}
    for event in workers:
        if event["what"] == "came":
            open_since[event["id"], event["by"], event["worker"]] = event["t"]
            jobs[event["id"], event["by"]] = event["job"]
        elif event["what"] in ATTEMPT_ENDS:
            since = open_since.pop((event["id"], event["by"], event["worker"]), None)
            if since is not None:
                attempts[event["id"], event["by"]].append((since, event["t"], event["worker"]))
    for (id_, by, worker), since in open_since.items():
        attempts[id_, by].append((since, inf, worker))
    for (id_, by), intervals in attempts.items():
        intervals.sort()
        for (since, until, worker), (next_since, next_until, next_worker) in pairwise(intervals):
            is_delayed = _is_excused(faults, (f"{by}>{worker}",), since, next_since)
            if min(until, next_until) > next_since + REORDERING_TOLERANCE_S and not is_delayed:
                text = f"{id_} has attempts open at {worker} and {next_worker} at the same time"
                yield Finding("copies", jobs[id_, by], text)


def _check_rejections(
    workers: Sequence[Event], clients: Sequence[Event], effects: dict[str, str]
) -> Iterable[Finding]:
    began = {event["id"]: event["t"] for event in workers if event["what"] == "began"}
    for event in clients:
        is_rejection = event["what"] == "answered" and event["status"] in REJECTED
        if (
            is_rejection
            and effects[event["kind"]] != "retryable"
            and began.get(event["id"], inf) < event["t"]
        ):
            yield Finding("declined", event["job"], f"{event['id']} was declined after it had begun")


def _check_drain_grace(
    scenario: Scenario, workers: Sequence[Event], faults: Sequence[InjectedFault]
) -> Iterable[Finding]:
    grace = (scenario.drain_grace + DRAIN_TOLERANCE_MS) / 1000.0
    # By dispatcher and worker: when the dispatcher was notified that the worker is not serving.
    notified: dict[tuple[str, str], float] = {}
    for event in workers:
        if event["what"] == "told":
            for name, status in event["workers"].items():
                if status == "SERVING":
                    notified.pop((event["to"], name), None)
                else:
                    notified.setdefault((event["to"], name), event["t"])
        elif event["what"] == "came":
            by, worker = event["by"], event["worker"]
            since = notified.get((by, worker), inf)
            links = (by, f"{by}>source", f"{by}>{worker}")
            if event["t"] > since + grace and not _is_excused(faults, links, since, event["t"]):
                text = f"{event['id']} reached {worker} {event['t'] - since:.2f} s after {by} was notified"
                yield Finding("drain", event["job"], text)


def slow_start_usage(scenario: Scenario, workers: Sequence[Event]) -> Iterable[tuple[Event, float, float]]:
    """Yield each attempt at a warming worker, the used share of the worker's budget and its age in s.

    The budget is the work that rule 4 (slow start) lets all dispatchers together send to the worker within
    the recovery ramp of `fall` ms. The rule is broken above 1.
    """
    started: dict[str, float] = {}
    sent: dict[str, list[tuple[float, float]]] = defaultdict(list)  # by worker: time, slots * ms of run time
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
            work = sum(run for t, run in recent if t > event["t"] - scenario.fall / 1000.0)
            yield (
                event,
                work / (scenario.fall_multiple * scenario.slots * event["share"] * scenario.fall),
                age,
            )


def _check_slow_start_budget(scenario: Scenario, workers: Sequence[Event]) -> Iterable[Finding]:
    for event, used, age in slow_start_usage(scenario, workers):
        if used > SLOW_START_TOLERANCE:
            text = f"{event['worker']} got {used:.0%} of its slow start budget, {age:.2f} s after its start"
            yield Finding("cold", event["job"], text)


def _check_resources_released(
    scenario: Scenario, final_states: Iterable[FinalState], faults: Sequence[InjectedFault]
) -> Iterable[Finding]:
    # A dispatcher that outlives others keeps a connection for each job that the workers can hold, and with
    # custody keeps the stores of other incarnations open.
    spare = max(
        SPARE_DESCRIPTORS, scenario.workers * (scenario.slots + QUEUED_PER_WORKER)
    ) + STORE_DESCRIPTORS * bool(scenario.custody)
    ended = {fault.who for fault in faults if fault.what in ("kill", "term") and fault.until == inf}
    for state in final_states:
        if state.name in ended:
            continue
        if state.inflight or state.connections:
            text = f"{state.name} holds {state.inflight} requests and {state.connections} client connections"
            yield Finding("rest", "", text)
        if state.descriptors > state.descriptors_at_start + spare:
            at_start = state.descriptors_at_start
            text = f"{state.name} holds {state.descriptors} descriptors, {at_start} at its start"
            yield Finding("rest", "", text)
        if state.code != 0:
            yield Finding("ends", "", f"{state.name} exited with code {state.code}")
