"""Dispatchers in memory that share a folder of durable requests and one clock, which the test drives.

Leases, fences and takeovers happen as in real processes: a killed dispatcher is found by its process id, a
paused one by its heartbeats.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from eiderfield.durable_requests.incarnations import MEMBERS
from eiderfield.net.clients import Listener, RequestFront
from support.batch_process import BatchProcess
from support.memory_dispatcher import SITE, Client, WorkerEnd
from support.policy import SAFE, UNSAFE

LEASE_MS = 1200.0
STEP_MS = 10.0
WORKER_STEP_MS = 50.0
DEADLINE_MS = 12_000.0
DURABLE_SITE = replace(
    SITE,
    classes=(
        replace(SAFE, deadline_ms=DEADLINE_MS),
        replace(UNSAFE, deadline_ms=DEADLINE_MS),
        *SITE.classes[2:],
    ),
    max_attempts=5,
)


class FleetProcess(BatchProcess):
    """A dispatcher with a listener for requests and one for batch jobs; by default `safe` is durable."""

    def __init__(self, folder: Path, name: str, start: float, **process: Any) -> None:
        super().__init__(folder, name, site=DURABLE_SITE, lease_ms=LEASE_MS, start=start, **process)
        dispatcher = self.dispatcher
        front = RequestFront(dispatcher.exchange, dispatcher.ids, dispatcher.clock, self.coordinator.intake)
        self.requests = Listener(front, dispatcher.wheel, dispatcher.clock, 64)
        self.started: list[
            tuple[WorkerEnd, str]
        ] = []  # the attempts that run, with the ids of their requests

    def submit(
        self, id_: str = "r1", key: str = "", wait: float = DEADLINE_MS, class_name: str = "safe"
    ) -> Client:
        """Return an HTTP client that has sent a request and waits for its answer."""
        client = Client(self.dispatcher, self.requests)
        headers = {"Idempotency_Key": key} if key else {}
        client.post(f"/{class_name}/k1", id_, int(wait), b"b", **headers)
        return client

    def submit_job(self) -> str:
        """Submit a batch job as a client that then leaves, and return the job's id."""
        client = self.client()
        client.ask("POST", "/v1/jobs", {"jobClass": "safe"})
        self.run(STEP_MS)
        [(status, _, body)] = client.answers()
        assert status == 201
        client.pipe.break_off()
        return str(json.loads(body)["jobId"])

    def begin_attempts(self) -> None:
        """Let all dials succeed, and let workers report the start and the progress of what reached them."""
        for end, id_ in self.started:
            if end.pipe.open:
                end.say({"id": id_, "from": "w", "state": "running", "share": 0.5}, head=False)
        while self.dispatcher.dials:
            self.dispatcher.dials[0].up()
        for end in self.dispatcher.ends:
            if end.pipe.open and end.take():
                id_ = str(end.requests.popleft().get("x-request-id"))
                self.started.append((end, id_))
                end.say({"id": id_, "from": "w", "state": "started"})

    def end_attempts(self, state: str = "done", result: str = "ok") -> None:
        """Let all attempts that run end."""
        ended, self.started = self.started, []
        for end, id_ in ended:
            if end.pipe.open:
                line = {"id": id_, "from": "w", "state": state}
                end.say({**line, "result": result} if state == "done" else line, head=False, end=True)

    @property
    def begun(self) -> list[str | None]:
        """The ids of the requests of all attempts that reached a worker."""
        return [id_ for end in self.dispatcher.ends for id_ in end.came]


class DurableFleet:
    """Several dispatchers, which `run` lets live step by step."""

    def __init__(self, folder: Path, names: Sequence[str] = ("a", "b"), **process: Any) -> None:
        self.folder = folder
        self.process = process
        self.now = 1_000_000.0
        self.all: list[FleetProcess] = []
        self.running: list[FleetProcess] = []
        for name in names:
            self.start(name)
        self.run(2.0 * LEASE_MS)

    def start(self, name: str) -> FleetProcess:
        """Start a dispatcher."""
        process = FleetProcess(self.folder, name, self.now, **self.process)
        self.all.append(process)
        self.running.append(process)
        return process

    def run(self, span: float) -> None:
        """Let time pass for all running dispatchers at once, each with a turn of its commit thread a step."""
        for _ in range(int(span / STEP_MS)):
            self.now += STEP_MS
            for process in self.running:
                process.run(STEP_MS)

    def run_with_workers(self, span: float) -> None:
        """Let time pass in which all dials succeed and workers report the progress of their requests."""
        for _ in range(int(span / WORKER_STEP_MS)):
            self.run(WORKER_STEP_MS)
            for process in self.running:
                process.begin_attempts()

    def pause(self, process: FleetProcess) -> None:
        """Stop a process, which still exists."""
        self.running.remove(process)

    def resume(self, process: FleetProcess) -> None:
        """Let a paused process go on: its clock has gone on, and it reads what came meanwhile."""
        process.dispatcher.advance(self.now - process.dispatcher.now)
        self.running.append(process)

    def kill(self, process: FleetProcess) -> None:
        """Kill a process: nothing of it is written any more, and its connections are reset."""
        if process in self.running:
            self.running.remove(process)
        member = process.coordinator.member
        incarnations = member.folder.incarnations
        for name, info in incarnations.all().items():
            if info.name == member.name:
                ended = replace(info, started="ended")
                (self.folder / MEMBERS / name).write_text(ended.encode())
        member.end_incarnation()

    def find(self, id_: str) -> Any:
        """Return the latest record of a request."""
        return self.running[0].coordinator.member.find(id_)

    def close(self) -> None:
        """Close all folders."""
        for process in self.all:
            process.close()
