"""Stand-ins for the second review's cases: workers, discovery, Consul, clients, and a starter of processes.

They use the standard library alone, listen on loopback addresses, and follow the operators' protocol pages.
A case's script makes a `Case`, starts dispatchers with the commands of `deploy/balancer.toml`, and judges
only what clients, workers and the platform can see. Every event goes to `record.txt` in the case's folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
OK = 200
READY_S = 30.0  # in which a dispatcher has to be ready
PROGRESS_MS = 1000.0  # between two reports of a job's progress
EMPTY_LINE_S = 2.0  # between two empty lines of a watch
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FAILED = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class CaseError(Exception):
    """The case could not run."""


def trouble() -> bool:
    """Return whether the disruption is to be played: not with `TROUBLE=0`."""
    return os.environ.get("TROUBLE", "1") != "0"


def now_ms() -> float:
    """Return the monotonic clock, in ms."""
    return time.monotonic() * 1000.0


def free_port(host: str = LOOPBACK) -> int:
    """Return a port that nobody listens at."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Case:
    """One play: its temporary folder, its record, and the processes that it started."""

    def __init__(self, folder: Path) -> None:
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.dispatchers: list[Dispatcher] = []
        self._started = now_ms()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self.note("case", trouble=trouble())

    def at(self) -> float:
        """Return the time since the start of the case, in ms."""
        return now_ms() - self._started

    def note(self, event: str, **fields: object) -> None:
        """Write an event to the record."""
        self._record.write(json.dumps({"ms": round(self.at(), 1), "event": event, **fields}) + "\n")
        self._record.flush()

    def close(self) -> None:
        """End all processes, and remove the temporary folder."""
        for dispatcher in self.dispatchers:
            dispatcher.kill()
        self._record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def play(folder: Path, act: Callable[[Case], Coroutine[Any, Any, list[str]]], limit_s: float = 110.0) -> int:
    """Play a case whose `act` returns the breaks of the rule; return the exit code."""
    case = Case(folder)
    signal.signal(
        signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN)
    )  # whoever ends it early finds nothing left
    try:
        breaks = asyncio.run(asyncio.wait_for(act(case), limit_s))
    except (CaseError, TimeoutError, OSError) as error:
        case.note("could not run", why=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    else:
        for text in breaks:
            case.note("broken", what=text)
            print(f"broken: {text}")
        print(f"breaks: {len(breaks)}")
        case.note("verdict", breaks=len(breaks))
        return BROKEN if breaks else HELD
    finally:
        case.close()


# Dispatchers.


class Dispatcher:
    """A dispatcher that is started by the `run` line of the deploy file, from the root."""

    def __init__(
        self, case: Case, name: str, config: dict[str, Any], discovery: str = "", port: int = 0
    ) -> None:
        self.name = name
        self.port = port or free_port()
        self.config = {"name": name, "listen": f"{LOOPBACK}:{self.port}", "seed": "review", **config}
        self.discovery = discovery
        self._case = case
        self._folder = case.temporary / name
        self._process: asyncio.subprocess.Process | None = None
        self._starts = 0
        case.dispatchers.append(self)

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        return LOOPBACK, self.port

    @property
    def running(self) -> bool:
        """Whether its process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self, wait: bool = True) -> None:
        """Start the process; with `wait`, wait until `GET /ready` is 200."""
        self._starts += 1
        private = self._folder / f"tmp{self._starts}"  # empty at every start
        private.mkdir(parents=True)
        file = self._folder / "config.json"
        file.write_text(json.dumps(self.config), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environ = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(private),
            "LB_NAME": self.name,
            "LB_LISTEN": f"{LOOPBACK}:{self.port}",
            "LB_CONFIG": str(file),
        }
        if self.discovery:
            environ["LB_DISCOVERY"] = self.discovery
        with (self._folder / "log.txt").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=ROOT,
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._case.note("dispatcher started", name=self.name, pid=self._process.pid)
        if wait:
            await self.ready()

    async def ready(self) -> None:
        """Wait until `GET /ready` is 200; raise `CaseError` where the process ends or takes too long."""
        end = now_ms() + READY_S * 1000.0
        while now_ms() < end:
            if not self.running:
                raise CaseError(f"{self.name} ended: {self.log()[-600:]}")
            reply = await call(self.address, "GET", "/ready", limit_s=2.0)
            if reply.status == OK:
                self._case.note("dispatcher ready", name=self.name)
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready: {self.log()[-600:]}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._case.note("signal", name=self.name, signal=number.name)
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it is there."""
        with suppress(ProcessLookupError):
            if self._process is not None and self._process.returncode is None:
                self._process.kill()

    async def ended(self) -> None:
        """Wait for the end of the process."""
        assert self._process is not None
        code = await self._process.wait()
        self._case.note("dispatcher ended", name=self.name, code=code)

    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / "log.txt").read_text(encoding="utf-8", errors="replace")


# Clients.


@dataclass(slots=True)
class Reply:
    """The answer to one message; `status` is 0 where there was none, and `error` says why."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, empty if it is none."""
        with suppress(ValueError):
            content = json.loads(self.body)
            if isinstance(content, dict):
                return content
        return {}


async def _read_reply(reader: asyncio.StreamReader) -> Reply:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Reply(int(start.split()[1]), headers, body)


class Connection:
    """A client's connection, on which one message at a time is sent; opened anew when it is closed."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        limit_s: float = 30.0,
    ) -> Reply:
        """Send a message and return its answer."""
        try:
            async with asyncio.timeout(limit_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self.address)
                reader, writer = self._streams
                lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", f"Content-Length: {len(body)}"]
                lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                reply = await _read_reply(reader)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            self.close()
            return Reply(error=type(error).__name__)
        if reply.headers.get("connection", "").lower() == "close":
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    limit_s: float = 30.0,
) -> Reply:
    """Send one message on a connection of its own and return its answer."""
    connection = Connection(address)
    try:
        return await connection.call(method, path, body, headers, limit_s)
    finally:
        connection.close()


# Workers.


@dataclass(eq=False)
class Arrival:
    """A request whose last byte has arrived at a worker."""

    id: str
    path: str
    key: str
    body: bytes
    at: float  # ms of the monotonic clock
    connection: WorkerConnection

    @property
    def job(self) -> dict[str, Any]:
        """Return the body as JSON."""
        content = json.loads(self.body)
        return content if isinstance(content, dict) else {}


class WorkerConnection(asyncio.Protocol):
    """The worker's end of a connection from a dispatcher."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.open = True
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.worker.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Hand each whole request to the worker."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            start, *lines = self._buffer[:end].decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines)
            headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
            length = int(headers.get("content-length", "0"))
            if len(self._buffer) < end + 4 + length:
                return
            body = self._buffer[end + 4 : end + 4 + length]
            self._buffer = self._buffer[end + 4 + length :]
            self.worker.arrived(self, start.split()[1], headers, body)

    def eof_received(self) -> bool:
        """Close: a dispatcher that ends its sending has given up its attempt."""
        return False

    def connection_lost(self, _error: Exception | None) -> None:
        """Note the end."""
        self.open = False
        self.worker.connections.discard(self)

    def send(self, data: bytes) -> None:
        """Write, as long as the connection is open."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def send_line(self, id_: str, last: bool = False, **fields: object) -> None:
        """Write one JSON line as a chunk; `last` ends the answer."""
        line = json.dumps({"id": id_, "from": self.worker.name, **fields}).encode() + b"\n"
        self.send(b"%x\r\n%s\r\n" % (len(line), line) + (LAST_CHUNK if last else b""))

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()


Serve = Callable[["Worker", Arrival], Awaitable[None]]


class Worker:
    """A worker: runs each job for the time that its body names, and drops a repeated key within its group."""

    def __init__(
        self,
        case: Case,
        name: str,
        zone: str = "a",
        group: int = 1,
        window_ms: float = 20_000.0,
        serve: Serve | None = None,
        host: str = LOOPBACK,
        slots: int = 4,
    ) -> None:
        self.name, self.zone, self.group, self.host = name, zone, group, host
        self.port = 0
        self.status = "SERVING"
        self.connections: set[WorkerConnection] = set()
        self.arrivals: list[Arrival] = []
        self.runs: list[tuple[str, float]] = []  # request id and time of each begun run
        self.ends: list[str] = []  # request ids of the runs whose result was sent on an open connection
        self.keys: dict[str, tuple[float, asyncio.Future[str]]] = {}  # shared by a group: see `share_keys`
        self.case = case
        self._window_ms = window_ms
        self._slots = asyncio.Semaphore(slots)  # waiting jobs start in order
        self._serve = serve or Worker.run
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def entry(self) -> dict[str, Any]:
        """Return the worker's entry of discovery's list."""
        return {
            "name": self.name,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "type": "std",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def open(self, port: int = 0) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: WorkerConnection(self), self.host, port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def arrived(
        self, connection: WorkerConnection, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Serve a request."""
        if "x-request-id" not in headers:
            connection.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        key = headers.get("idempotency-key", "")
        arrival = Arrival(headers["x-request-id"], target, key, body, now_ms(), connection)
        self.arrivals.append(arrival)
        self.case.note("arrived", worker=self.name, id=arrival.id, key=key, status=self.status)
        task = asyncio.get_running_loop().create_task(self._run_task(arrival))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_task(self, arrival: Arrival) -> None:
        await self._serve(self, arrival)

    async def run(self, arrival: Arrival) -> None:
        """Run a job once, or answer a repeat of its key with the first run's result."""
        async with self._slots:
            if arrival.connection.open:  # a cancel drops waiting work
                await self._run_now(arrival)

    async def _run_now(self, arrival: Arrival) -> None:
        connection = arrival.connection
        connection.send(ANSWER_HEAD)
        held = self.keys.get(arrival.key) if arrival.key else None
        if held is not None and now_ms() - held[0] < self._window_ms:
            self.case.note("repeat dropped", worker=self.name, id=arrival.id)
            connection.send_line(arrival.id, True, state="done", result=await held[1])
            return
        self.runs.append((arrival.id, now_ms()))
        self.case.note("run begins", worker=self.name, id=arrival.id)
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        if arrival.key:
            self.keys[arrival.key] = now_ms(), future
        connection.send_line(arrival.id, state="started")
        await self._work(arrival, float(arrival.job.get("run", 100.0)))
        result = f"{self.name}:{arrival.job.get('job', '')}"
        future.set_result(result)
        self.case.note("run ends", worker=self.name, id=arrival.id, heard=connection.open)
        if connection.open:
            self.ends.append(arrival.id)
        connection.send_line(arrival.id, True, state="done", result=result)

    async def _work(self, arrival: Arrival, run_ms: float) -> None:
        """Run a job to its end, and tell its progress every second."""
        done = 0.0
        while done < run_ms:
            if done:
                arrival.connection.send_line(arrival.id, state="running", share=round(done / run_ms, 3))
            step = min(PROGRESS_MS, run_ms - done)
            await asyncio.sleep(step / 1000.0)
            done += step


def share_keys(workers: list[Worker]) -> None:
    """Let the workers of a group drop each other's repeats."""
    for worker in workers:
        worker.keys = workers[0].keys


# The platform's discovery.


class Agent:
    """The agent of discovery on the dispatcher's machine: answers at once with what it has been sent."""

    def __init__(self, case: Case, workers: list[Worker]) -> None:
        self.workers = workers
        self.index = 1
        self.port = 0
        self.told: dict[str, float] = {}  # by worker: when a watch was first told that it drains
        self._case = case
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{LOOPBACK}:{self.port}"

    async def open(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def answer_delay(self) -> None:
        """Wait before an answer's first byte; a case may replace it."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError, asyncio.CancelledError):
            head = await reader.readuntil(b"\r\n\r\n")
            self._case.note("discovery called", call=head.split(b"\r\n")[0].decode("latin-1"))
            await self.answer_delay()
            if b"watch=1" in head.split(b"\r\n")[0]:
                await self._watch(reader, writer)
            else:
                body = self._line([worker.entry for worker in self.workers], True)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(ANSWER_HEAD)
        self._send(writer, [worker.entry for worker in self.workers], True)
        self._watches.add(writer)
        try:
            while not reader.at_eof():
                with suppress(TimeoutError):
                    async with asyncio.timeout(EMPTY_LINE_S):
                        await reader.read(1)
                writer.write(b"1\r\n\n\r\n")
        finally:
            self._watches.discard(writer)

    def _line(self, entries: list[dict[str, Any]], snapshot: bool) -> bytes:
        return json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"

    def _send(self, writer: asyncio.StreamWriter, entries: list[dict[str, Any]], snapshot: bool) -> None:
        line = self._line(entries, snapshot)
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        self._case.note("list sent", index=self.index, snapshot=snapshot, entries=len(entries))
        for entry in entries:
            if entry["status"] != "SERVING":
                self.told.setdefault(entry["name"], now_ms())

    def changed(self, workers: list[Worker]) -> None:
        """Tell all watches of changed workers."""
        self.index += 1
        for writer in list(self._watches):
            with suppress(OSError, RuntimeError):
                self._send(writer, [worker.entry for worker in workers], False)


# Consul.


class Consul:
    """Consul's health API for one service: blocking queries, answered whole at each change of the service."""

    def __init__(self, case: Case) -> None:
        self.index = 10
        self.port = 0
        self.entries: dict[str, dict[str, Any]] = {}  # by service id
        self.answered: list[tuple[float, frozenset[str]]] = []  # when, and which passing ids were listed
        self._case = case
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen, at the same port after `close`."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Be unreachable: open connections are reset, and new ones are refused."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def register(self, id_: str, host: str, port: int, zone: str = "a", status: str = "passing") -> None:
        """Register a service instance, or change its state; `publish` makes it known."""
        self.entries[id_] = health_entry(id_, host, port, zone, status, self.index)

    def deregister(self, id_: str) -> None:
        """Remove an instance; `publish` makes it known."""
        del self.entries[id_]

    def publish(self) -> None:
        """Raise the index, and answer the queries that wait."""
        self.index += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, EOFError, ValueError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                _, _, query = head.split(" ")[1].partition("?")
                given = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                if int(given.get("index", "0")) >= self.index:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(float(given.get("wait", "300s").rstrip("s"))):
                            await self._changed.wait()
                body = json.dumps(list(self.entries.values())).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: %d\r\n"
                    b"X-Consul-Knownleader: true\r\nX-Consul-Lastcontact: 0\r\nContent-Length: %d\r\n\r\n"
                    % (self.index, len(body))
                    + body
                )
                await writer.drain()
                passing = frozenset(id_ for id_, entry in self.entries.items() if is_passing(entry))
                self.answered.append((now_ms(), passing))
                self._case.note("consul answered", index=self.index, bytes=len(body), passing=len(passing))
        self._writers.discard(writer)
        writer.close()


def is_passing(entry: dict[str, Any]) -> bool:
    """Return whether all checks of an instance pass."""
    return all(check["Status"] == "passing" for check in entry["Checks"])


def health_entry(id_: str, host: str, port: int, zone: str, status: str, index: int) -> dict[str, Any]:
    """Return an instance as Consul's health API lists it, with the fields that Consul's API page shows."""
    node = f"{zone}-{id_}.node.dc1.consul"
    tagged = {"lan": host, "lan_ipv4": host, "wan": host, "wan_ipv4": host}
    common = {"Node": node, "Namespace": "default", "Partition": "default", "PeerName": ""}
    return {
        "Node": {
            "ID": f"40e4a748-2192-161a-0510-{int.from_bytes(id_.encode()[-6:]):012x}"[:36],
            "Node": node,
            "Address": host,
            "Datacenter": "dc1",
            "TaggedAddresses": tagged,
            "Meta": {"consul-network-segment": "", "consul-version": "1.18.1", "instance_type": "std-5"},
            "Partition": "default",
            "CreateIndex": index,
            "ModifyIndex": index,
        },
        "Service": {
            "ID": id_,
            "Service": "claim-workers",
            "Tags": ["primary", zone],
            "Address": host,
            "TaggedAddresses": {
                "lan_ipv4": {"Address": host, "Port": port},
                "wan_ipv4": {"Address": host, "Port": port},
            },
            "Meta": {"zone": zone, "type": "std", "group": "1"},
            "Port": port,
            "Weights": {"Passing": 1, "Warning": 1},
            "EnableTagOverride": False,
            "Proxy": {"Mode": "", "MeshGateway": {}, "Expose": {}},
            "Connect": {},
            "Namespace": "default",
            "Partition": "default",
            "PeerName": "",
            "CreateIndex": index,
            "ModifyIndex": index,
        },
        "Checks": [
            {
                **common,
                "CheckID": "serfHealth",
                "Name": "Serf Health Status",
                "Status": "passing",
                "Notes": "",
                "Output": "Agent alive and reachable",
                "ServiceID": "",
                "ServiceName": "",
                "ServiceTags": [],
                "Type": "",
                "Interval": "",
                "Timeout": "",
                "ExposedPort": 0,
                "Definition": {},
                "CreateIndex": index,
                "ModifyIndex": index,
            },
            {
                **common,
                "CheckID": f"service:{id_}",
                "Name": "Service 'claim-workers' check",
                "Status": status,
                "Notes": "",
                "Output": f"HTTP GET http://{host}:{port}/health: 200 OK Output: ok",
                "ServiceID": id_,
                "ServiceName": "claim-workers",
                "ServiceTags": ["primary", zone],
                "Type": "http",
                "Interval": "1s",
                "Timeout": "500ms",
                "ExposedPort": 0,
                "Definition": {},
                "CreateIndex": index,
                "ModifyIndex": index,
            },
        ],
    }


# Settings like those of a small deployment.


def request_class(name: str, effect: str, give_up: float = 12_000.0, **more: object) -> dict[str, Any]:
    """Return the settings of a class; `effect` is `retryable`, `dedup` or `fragile`."""
    return {"name": name, "value": 3, "goal_time": 400, "give_up": give_up, "idempotency": effect, **more}


def settings(
    classes: list[dict[str, Any]], dispatchers: int = 1, me: int = 0, **limits: object
) -> dict[str, Any]:
    """Return the settings of the decisions."""
    return {
        "balancers": dispatchers,
        "me": me,
        "zones": ["a", "b"],
        "locality": 0,
        "family_info": {"tells_start": True, "progress": 1000, "class_stretch": [2.0] * len(classes)},
        "policy_limits": {
            "max_attempts": 4,
            "cancel": True,
            "retry_after": True,
            "max_retry_after": 2000,
            "dial_timeout": 1000,
            "conn_idle": 10_000,
            **limits,
        },
        "rules": {
            "answer_slack": 10,
            "drain_grace": 500,
            "fall": 1500,
            "fall_multiple": 2.5,
            "cold": 5000,
            "start_capacity": 0.5,
        },
        "classes": classes,
    }


LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
