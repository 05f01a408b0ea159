"""Stand-ins of the review: Consul, workers, clients, and the start of the project's own dispatchers.

All of them use the standard library alone, loopback addresses and free ports. A worker follows the protocol
page: it answers 200 and a line of JSON for each state of a job, drops work that waits when its connection
closes, and goes on with work that runs. The workers of one group drop a repeat of a key within the window.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
RUN_LIMIT_S = 105.0  # of a whole script, which may take 120 s
READY_LIMIT_S = 30.0  # the platform's own limit
OK = 200
PORTS, PORT_TRIES = range(20000, 32000), 100
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a free port below those that the system gives to connections and to the stand-ins."""
    for _ in range(PORT_TRIES):
        port = random.choice(PORTS)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((HOST, port))
            return port
    raise CannotRunError("no free port was found")


@dataclass(slots=True)
class Message:
    """A parsed HTTP message."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message; a body has a length, or is chunked."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(start, headers, await _read_chunks(reader))
    return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


class Consul:
    """Consul's health API: blocking queries for the instances of one service, sorted by their names."""

    def __init__(self, record: Record, service: str) -> None:
        self.port = 0
        self._record = record
        self._service = service
        self._instances: dict[str, dict[str, object]] = {}
        self._index = 10
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.is_open = False
        self.told: list[tuple[float, set[str]]] = []  # when a list was written, and who is in it

    async def open(self) -> None:
        """Listen, at the same port as before."""
        self.is_open = True
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """End: connections are closed, and new ones are refused."""
        self.is_open = False
        if self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()
            await self._server.wait_closed()
            self._server = None

    async def register(self, workers: list[Worker]) -> None:
        """List workers, each with a passing check."""
        for worker in workers:
            self._instances[worker.name] = {
                "Node": {"Node": worker.name, "Address": HOST, "Datacenter": "dc1"},
                "Service": {
                    "ID": worker.name,
                    "Address": HOST,
                    "Port": worker.port,
                    "Meta": {"zone": worker.zone, "type": worker.kind, "group": worker.group.name},
                    "Weights": {"Passing": 1, "Warning": 1},
                },
                "Checks": [{"Status": "passing"}],
            }
        await self._announce(f"registered {' '.join(worker.name for worker in workers)}")

    async def deregister(self, workers: list[Worker]) -> None:
        """List workers no longer."""
        for worker in workers:
            del self._instances[worker.name]
        await self._announce(f"deregistered {' '.join(worker.name for worker in workers)}")

    async def _announce(self, what: str) -> None:
        self._index += 1
        self._record.write(f"consul: {what} (index {self._index})")
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, EOFError, ValueError, asyncio.CancelledError):
            while True:
                target = urlsplit((await read_message(reader)).start.split(" ")[1])
                if target.path != f"/v1/health/service/{self._service}":
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                query = parse_qs(target.query)
                wait = float(query.get("wait", ["300s"])[0].rstrip("s"))
                await self._wait_for_newer(int(query.get("index", ["0"])[0]), wait)
                if not self.is_open:
                    break
                body = json.dumps([self._instances[name] for name in sorted(self._instances)]).encode()
                self._record.write(f"consul: told {len(self._instances)} instances (index {self._index})")
                self.told.append((time.monotonic(), set(self._instances)))
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Consul-Index: %d\r\nX-Consul-KnownLeader: true\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (self._index, len(body), body)
                )
        self._writers.discard(writer)
        writer.close()

    async def _wait_for_newer(self, index: int, wait: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._index > index)


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Wait until a dispatcher closes its connection, or ends its sending on it."""
    with suppress(OSError):
        await reader.read(1)


@dataclass(slots=True)
class KeyedRun:
    """The first run of a key in a group."""

    began: float
    done: asyncio.Event
    result: str = ""


@dataclass(slots=True)
class Group:
    """Workers that share which keys they have seen, and drop a repeat within a window."""

    name: str
    window_s: float = 0.0
    runs: dict[str, KeyedRun] = field(default_factory=dict)

    def first_run(self, key: str) -> KeyedRun | None:
        """Return the run that a repeat of the key joins."""
        run = self.runs.get(key) if key else None
        return run if run is not None and time.monotonic() < run.began + self.window_s else None


@dataclass(slots=True)
class Run:
    """A job that a worker has begun."""

    at: float
    id: str
    key: str
    body: str
    worker: str
    group: str


@dataclass(slots=True)
class WorkerSettings:
    """How the workers of a case work."""

    slots: int
    queue: int
    idle_s: float
    work_s: Callable[[str], float]  # the running time of a job of a class
    progress_s: float = 1.0


class Worker:
    """A worker with slots and a FIFO queue."""

    def __init__(
        self, name: str, zone: str, kind: str, group: Group, settings: WorkerSettings, record: Record
    ) -> None:
        self.name = name
        self.zone = zone
        self.kind = kind
        self.group = group
        self.port = 0
        self.runs: list[Run] = []
        self.received: list[tuple[float, str]] = []  # when a request was complete, and its id
        self.lost: list[str] = []  # the ids of the jobs that ran when the machine was switched off
        self.is_off = False
        self._settings = settings
        self._record = record
        self._slots = asyncio.Semaphore(settings.slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    def switch_off(self) -> None:
        """End: connections are reset, new ones are refused, and what runs is lost."""
        self.is_off = True
        self._record.write(f"worker {self.name}: switched off")
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, EOFError, TimeoutError, asyncio.CancelledError):
            while True:
                async with asyncio.timeout(self._settings.idle_s):
                    request = await read_message(reader)
                if request.start.startswith("GET /health"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                elif not request.start.startswith("POST") or "x-request-id" not in request.headers:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                elif not await self._handle(request, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request; return whether its connection is still open."""
        id_, key = request.headers["x-request-id"], request.headers.get("idempotency-key", "")
        self.received.append((time.monotonic(), id_))
        self._record.write(f"worker {self.name} ({self.group.name}): received {id_} key={key}")
        if (first := self.group.first_run(key)) is not None:
            return await self._repeat(id_, first, writer)
        if self._slots.locked() and self._waiting >= self._settings.queue:
            writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not await self._get_slot(reader):
            self._record.write(f"worker {self.name}: dropped {id_}, which had not begun")
            return False
        work = asyncio.ensure_future(self._run(request, id_, key, writer))
        gone = asyncio.ensure_future(_wait_for_close(reader))
        await asyncio.wait({work})  # running work goes on when its connection closes
        if gone.done():
            return False
        gone.cancel()
        with suppress(asyncio.CancelledError):
            await gone
        return not writer.is_closing()

    async def _get_slot(self, reader: asyncio.StreamReader) -> bool:
        """Wait for a slot; return False if the connection closes first."""
        if not self._slots.locked():
            await self._slots.acquire()
            return True
        self._waiting += 1
        slot = asyncio.ensure_future(self._slots.acquire())
        gone = asyncio.ensure_future(_wait_for_close(reader))
        try:
            await asyncio.wait({slot, gone}, return_when=asyncio.FIRST_COMPLETED)
            if gone.done():
                if slot.done():
                    self._slots.release()
                slot.cancel()
                return False
            gone.cancel()
            with suppress(asyncio.CancelledError):
                await gone
            return True
        finally:
            self._waiting -= 1

    async def _run(self, request: Message, id_: str, key: str, writer: asyncio.StreamWriter) -> None:
        class_name = request.start.split(" ")[1].split("/")[1]
        run = Run(time.monotonic(), id_, key, request.body.decode(), self.name, self.group.name)
        self.runs.append(run)
        keyed = KeyedRun(run.at, asyncio.Event(), f"result of {id_} by {self.name}")
        if key:
            self.group.runs[key] = keyed
        self._record.write(f"worker {self.name} ({self.group.name}): began {id_} key={key} body={run.body}")
        self._send(writer, {"id": id_, "from": self.name, "state": "started"})
        left = work = self._settings.work_s(class_name)
        while left > 0.0:
            step = min(left, self._settings.progress_s)
            await asyncio.sleep(step)
            left -= step
            if self.is_off:
                self.lost.append(id_)
                self._record.write(f"worker {self.name}: lost {id_}, which ran when it was switched off")
                return
            if left > 0.0:
                share = round(1.0 - left / work, 3)
                self._send(writer, {"id": id_, "from": self.name, "state": "running", "share": share})
        self._slots.release()
        keyed.done.set()
        self._record.write(f"worker {self.name}: done {id_}")
        state = {"id": id_, "from": self.name, "state": "done", "result": keyed.result}
        self._send(writer, state, last=True)

    async def _repeat(self, id_: str, first: KeyedRun, writer: asyncio.StreamWriter) -> bool:
        """Answer a repeat with the result of the first run."""
        self._record.write(f"worker {self.name} ({self.group.name}): dropped the repeat {id_}")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await first.done.wait()
        self._send(writer, {"id": id_, "from": self.name, "state": "done", "result": first.result}, last=True)
        return not writer.is_closing()

    @staticmethod
    def _send(writer: asyncio.StreamWriter, state: dict[str, object], last: bool = False) -> None:
        if not writer.is_closing():
            line = json.dumps(state).encode() + b"\n"
            writer.write(b"%x\r\n%s\r\n%s" % (len(line), line, b"0\r\n\r\n" if last else b""))


class Dispatcher:
    """A dispatcher, started by the `run` line of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict[str, object]) -> None:
        self.name = name
        self.port = free_port()
        self.batch_port = free_port()
        self._record = record
        self._folder = folder
        self._config = config
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self._starts += 1
        own = self._folder / f"{self.name}-{self._starts}"
        own.mkdir()
        listen = f"{HOST}:{self.port}"
        config = {
            "name": self.name,
            "listen": listen,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **self._config,
        }
        if "batch" in config:
            config["batch"] = {"enabled": True, "listen": f"{HOST}:{self.batch_port}"}
        path = own / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {"PATH": os.environ["PATH"], "TMPDIR": str(own), "LB_NAME": self.name}
        environment |= {"LB_LISTEN": listen, "LB_CONFIG": str(path)}
        with (own / "log").open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(f"dispatcher {self.name}: started")
        until = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until and self._process.poll() is None:
            answer = await call(self.port, "GET", "/ready", limit_s=2.0)
            if answer.status == OK:
                self._record.write(f"dispatcher {self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready: {(own / 'log').read_text()[-2000:]}")

    @property
    def running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
            self._record.write(f"dispatcher {self.name}: killed")


@dataclass(slots=True)
class Answer:
    """What a client got: status 0 where the dispatcher was not reached, or gave no whole answer."""

    status: int
    body: bytes = b""
    seconds: float = 0.0
    problem: str = ""

    def json(self) -> dict[str, object]:
        """Return the body as a JSON object."""
        return dict(json.loads(self.body))


async def call(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    limit_s: float = 10.0,
) -> Answer:
    """Send a request on a connection of its own and wait for its answer."""
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(HOST, port, limit=2**20)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}:{port}", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            answer = await read_message(reader)
        return Answer(int(answer.start.split(" ")[1]), answer.body, time.monotonic() - began)
    except (OSError, EOFError, TimeoutError, ValueError) as error:  # `TimeoutError`: the client has given up
        return Answer(0, b"", time.monotonic() - began, type(error).__name__)
    finally:
        if writer is not None:
            writer.transport.abort()


@dataclass(slots=True)
class Stage:
    """What a case plays on."""

    record: Record
    folder: Path  # temporary, removed at the end
    trouble: bool
    dispatchers: list[Dispatcher] = field(default_factory=list)

    def dispatcher(self, name: str, config: dict[str, object]) -> Dispatcher:
        """Return a dispatcher that is not started; it is ended with the case."""
        dispatcher = Dispatcher(self.record, self.folder, name, config)
        self.dispatchers.append(dispatcher)
        return dispatcher


def play(case_folder: Path, case: Callable[[Stage], Awaitable[list[str]]]) -> None:
    """Play a case, which returns how the rule was broken, and exit with the code of the verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends the processes that were started
    record = Record(case_folder)
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(record, Path(folder), trouble)
        try:
            breaks = asyncio.run(_bounded(case(stage)))
            for text in breaks:
                record.write(f"BROKEN: {text}")
            code = BROKEN if breaks else HELD
            shown = f"broken {len(breaks)} times, first: {breaks[0]}" if breaks else "held"
            print(f"trouble={int(trouble)}: {shown}")
        except (CannotRunError, OSError, TimeoutError) as error:
            record.write(f"not run: {error!r}")
            print(f"trouble={int(trouble)}: not run: {error!r}")
        finally:
            for dispatcher in stage.dispatchers:
                dispatcher.kill()
    record.write(f"exit code {code}")
    sys.exit(code)


async def _bounded(case: Awaitable[list[str]]) -> list[str]:
    async with asyncio.timeout(RUN_LIMIT_S):
        return await case
