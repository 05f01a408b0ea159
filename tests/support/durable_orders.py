"""Seeded orders of submit, wait, leave, result, planned end, kill, pause and takeover, and their rules.

Whatever the order, an accepted request has one end, the same wherever it is asked for, and no attempt begins
for a client that has gone.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from eiderfield.durable_requests.record import Stage
from eiderfield.exchange.request import Verdict
from support.durable_fleet import DEADLINE_MS, STEP_MS, DurableFleet, FleetProcess
from support.memory_dispatcher import Client

ACTIONS = 40  # drawn for each seed
MAX_PAUSE_MS = 400.0  # between two actions
GONE_AFTER_MS = 100.0  # after which an attempt for a client that has left breaks the rule
ALLOWED_MS = GONE_AFTER_MS + 50.0 + 2.0 * STEP_MS  # limits on sockets are 50 ms longer
SETTLED_MS = DEADLINE_MS + 6000.0  # after the last action, in which every request ends
MAX_DISPATCHERS = 5
VERDICTS = {200: Verdict.SERVED, 503: Verdict.DECLINED, 502: Verdict.FAILED}


@dataclass
class Waiting:
    """A client that waits for a request's end."""

    client: Client
    process: FleetProcess
    is_batch: bool


@dataclass
class Tracked:
    """A request, and what its clients and workers have seen of it."""

    id: str
    is_batch: bool
    waiting: list[Waiting] = field(default_factory=list)
    ends: list[tuple[str, str]] = field(default_factory=list)  # the verdicts and results that clients got
    present_at: float = 0.0  # when a client of it was connected last


class Orders:
    """One drawn order. `play` raises `AssertionError` if a rule is broken."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Start three dispatchers in a folder."""
        self.random = Random(seed)
        self.fleet = DurableFleet(folder, ("a", "b", "c"), workers=2)
        self.paused: list[FleetProcess] = []
        self.killed: list[FleetProcess] = []
        self.requests: dict[str, Tracked] = {}
        self.begun: dict[FleetProcess, Counter[str | None]] = {}  # the attempts seen of each process
        self.log: list[str] = []
        self.results = 0

    def play(self) -> None:
        """Play the order and check it."""
        actions: list[Callable[[], None]] = [
            self.submit,
            self.submit,
            self.submit_job,
            self.wait_elsewhere,
            self.wait_elsewhere,
            self.leave,
            self.leave,
            self.serve,
            self.serve,
            self.fail_attempts,
            self.terminate,
            self.kill,
            self.pause,
            self.resume,
            self.start,
        ]
        for _ in range(ACTIONS):
            action = self.random.choice(actions)
            action()
            self.run(self.random.uniform(0.0, MAX_PAUSE_MS))
        for _ in list(self.paused):
            self.resume()
        self.run(SETTLED_MS)
        self.check_ends()

    def note(self, text: str) -> None:
        """Add a line to the log of the order."""
        self.log.append(f"{self.fleet.now:.0f} {text}")

    # Actions. One that is not possible now does nothing.

    @property
    def accepting(self) -> list[FleetProcess]:
        """The running dispatchers that have not left."""
        return [each for each in self.fleet.running if not each.coordinator.member.has_left]

    def submit(self) -> None:
        """Submit a request over HTTP."""
        if processes := self.accepting:
            process = self.random.choice(processes)
            request = Tracked(f"r{len(self.requests)}", is_batch=False)
            self.requests[request.id] = request
            request.present_at = self.fleet.now
            request.waiting.append(Waiting(process.submit(request.id), process, is_batch=False))
            self.note(f"{process.coordinator.member.name} gets {request.id}")

    def submit_job(self) -> None:
        """Submit a batch job, whose client leaves."""
        if processes := self.accepting:
            process = self.random.choice(processes)
            client = process.client()
            client.ask("POST", "/v1/jobs", {"jobClass": "safe"})
            self.run(3.0 * STEP_MS)
            answers = client.answers()
            client.pipe.break_off()
            if [status for status, _, _ in answers] == [201]:
                job_id = str(json.loads(answers[0][2])["jobId"])
                self.requests[job_id] = Tracked(job_id, is_batch=True)
                self.note(f"{process.coordinator.member.name} gets job {job_id}")

    def wait_elsewhere(self) -> None:
        """Let a further client wait for a request at any dispatcher."""
        if not self.requests or not self.fleet.running:
            return
        request = self.random.choice(list(self.requests.values()))
        process = self.random.choice(self.fleet.running)
        if request.is_batch:
            client = process.client()
            client.ask("GET", f"/v1/jobs/{request.id}/wait?timeoutMs=60000")
        else:
            client = process.submit(request.id)
            request.present_at = self.fleet.now
        request.waiting.append(Waiting(client, process, request.is_batch))
        self.note(f"{process.coordinator.member.name} gets a client that waits for {request.id}")

    def leave(self) -> None:
        """Let a client leave."""
        waiting = [(request, each) for request in self.requests.values() for each in request.waiting]
        if waiting:
            request, each = self.random.choice(waiting)
            request.waiting.remove(each)
            self.collect(request, each)
            each.client.pipe.break_off()
            self.note(f"{each.process.coordinator.member.name} loses a client of {request.id}")

    def serve(self) -> None:
        """Let all attempts of a dispatcher end with a result of their own."""
        if self.fleet.running:
            self.results += 1
            process = self.random.choice(self.fleet.running)
            process.end_attempts(result=f"result {self.results}")
            self.note(f"{process.coordinator.member.name} gets results")

    def fail_attempts(self) -> None:
        """Let all attempts of a dispatcher fail."""
        if self.fleet.running:
            process = self.random.choice(self.fleet.running)
            process.end_attempts("failed")
            self.note(f"{process.coordinator.member.name} gets failures")

    def terminate(self) -> None:
        """Let a dispatcher leave as planned; it runs on."""
        if len(self.accepting) > 1:
            process = self.random.choice(self.accepting)
            process.coordinator.leave()
            self.note(f"{process.coordinator.member.name} leaves")

    def kill(self) -> None:
        """Kill a dispatcher, unless it is the last one that accepts requests."""
        candidates = [*self.fleet.running, *self.paused]
        process = self.random.choice(candidates)
        if self.accepting != [process]:
            if process in self.paused:
                self.paused.remove(process)
            for request in self.requests.values():
                for each in [each for each in request.waiting if each.process is process]:
                    self.collect(request, each)
                    request.waiting.remove(each)
            self.fleet.kill(process)
            self.killed.append(process)
            self.note(f"{process.coordinator.member.name} is killed")

    def pause(self) -> None:
        """Stop a dispatcher, perhaps beyond its lease, unless it is the last one."""
        if len(self.accepting) > 1:
            process = self.random.choice(self.accepting)
            self.fleet.pause(process)
            self.paused.append(process)
            self.note(f"{process.coordinator.member.name} is paused")

    def resume(self) -> None:
        """Let a paused dispatcher go on."""
        if self.paused:
            process = self.paused.pop()
            self.fleet.resume(process)
            self.note(f"{process.coordinator.member.name} goes on")

    def start(self) -> None:
        """Start a further dispatcher."""
        if len(self.fleet.running) < MAX_DISPATCHERS:
            process = self.fleet.start(f"d{len(self.fleet.all)}")
            self.note(f"{process.coordinator.member.name} starts")

    # Checks.

    def run(self, span: float) -> None:
        """Let time pass, and check each attempt that begins."""
        for _ in range(int(span / STEP_MS)):
            self.fleet.run(STEP_MS)
            for process in self.fleet.running:
                process.begin_attempts()
            for request in self.requests.values():
                self.look_at(request)
            self.check_begun()

    def look_at(self, request: Tracked) -> None:
        """Note whether a client waits, and what the clients were answered."""
        for each in list(request.waiting):
            if not self.collect(request, each):
                request.present_at = self.fleet.now
            else:
                request.waiting.remove(each)

    def collect(self, request: Tracked, waiting: Waiting) -> bool:
        """Note the end that a client was answered. Return whether it was answered."""
        answers = waiting.client.answers()
        for status, _, body in answers:
            self.note(f"{waiting.process.coordinator.member.name} answers {request.id} with {status}")
            if waiting.is_batch and status == 200:
                job = json.loads(body)
                if job["state"] in ("done", "failed"):
                    request.ends.append((job["verdict"], job.get("result") or ""))
            elif not waiting.is_batch:
                result = body.decode() if status == 200 else ""
                request.ends.append((VERDICTS[status].value, result))
        return bool(answers)

    def check_begun(self) -> None:
        """Check that a client of each request of which an attempt has begun is there, or has just left."""
        for process in self.fleet.all:
            begun = Counter(process.begun)
            new = begun - self.begun.get(process, Counter())
            self.begun[process] = begun
            for id_ in new:
                self.note(f"{process.coordinator.member.name} begins {id_}")
                request = self.requests.get(str(id_))
                if request is not None and not request.is_batch:
                    gone_for = self.fleet.now - request.present_at
                    name = process.coordinator.member.name
                    assert gone_for <= ALLOWED_MS, (
                        f"{name} began {id_}, whose client had left {gone_for:.0f} ms before\n" + self.text
                    )

    def check_ends(self) -> None:
        """Check that each accepted request has one end, the same at all clients and in the record."""
        for request in self.requests.values():
            record = self.fleet.find(request.id)
            ends = {end for end in request.ends if end[0] != Verdict.DECLINED.value}
            if record is not None and record.verdict not in ("", Verdict.DECLINED.value):
                ends.add((record.verdict, record.result.decode()))
            assert len(ends) <= 1, f"{request.id} has the ends {sorted(ends)}\n{self.text}"
            if request.is_batch:
                assert record is not None, f"{request.id} is not known any more\n{self.text}"
                assert record.stage == Stage.FINAL, f"{request.id} has no end\n{self.text}"

    @property
    def text(self) -> str:
        """The log of the order."""
        return "\n".join(self.log)

    def close(self) -> None:
        """Close all folders."""
        self.fleet.close()
