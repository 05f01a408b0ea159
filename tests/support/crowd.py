"""A dispatcher as a process with memory and descriptor limits, and crowds of clients on real sockets.

The workers and the clients of a crowd run on one event loop of the test's process. A crowd's client connects,
sends the bytes that it is given and waits for the end of its connection; a sound client sends one request at
a time, again and again, and records what came of each.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from eiderfield.lab.ports import free_port
from support.processes import ROOT, endpoint_list

DEADLINE_MS = 5000
CONNECT_TIMEOUT_S = 10.0
MB = 1024 * 1024
CLASSES = [
    {"name": "echo", "value": 1, "goal_time": 300, "give_up": DEADLINE_MS, "idempotency": "retryable"},
    {"name": "once", "value": 1, "goal_time": 300, "give_up": DEADLINE_MS, "idempotency": "fragile"},
]


def request(id_: str, body: bytes = b"abc", class_name: str = "echo", headers: str = "") -> bytes:
    """Return a whole request."""
    head = (
        f"POST /{class_name}/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id_}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
        f"{headers}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def many_headers(count: int) -> str:
    """Return short headers of different names."""
    return "".join(f"a{number}: b\r\n" for number in range(count))


class TimedWorker:
    """A worker that answers each request after a fixed time and counts the runs of each id."""

    def __init__(self, work_s: float, result: str = "ok") -> None:
        self.work_s = work_s
        self.result = result
        self.runs: Counter[str] = Counter()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512, limit=MB)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Listen no more."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readline():
                await self._answer(await self._read(reader), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the dispatcher has given up the request, or the test has ended
        finally:
            writer.close()

    async def _answer(self, id_: str, writer: asyncio.StreamWriter) -> None:
        self.runs[id_] += 1
        await asyncio.sleep(self.work_s)
        told = {"id": id_, "from": "w", "state": "done", "result": self.result}
        text = json.dumps(told).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text))
        await writer.drain()

    @staticmethod
    async def _read(reader: asyncio.StreamReader) -> str:
        headers = {}
        while (line := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        await reader.readexactly(int(headers["content-length"]))
        return headers["x-request-id"]


@dataclass(slots=True)
class Dispatcher:
    """A dispatcher's process, which may be killed and started again at its addresses."""

    folder: Path
    port: int
    console_port: int
    memory_mb: int
    process: asyncio.subprocess.Process | None = None
    peak_mb: float = 0.0  # of all processes so far
    ids: int = 0

    @property
    def pid(self) -> int:
        """The process's id."""
        assert self.process is not None
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def new_id(self) -> str:
        """Return a request id that was not used before."""
        self.ids += 1
        return f"r{self.ids}"

    async def start(self) -> None:
        """Start a process and wait until it is ready."""
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "eiderfield",
                cwd=ROOT,
                env={**os.environ, "LB_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)},
                stderr=log,
            )
        async with asyncio.timeout(30.0):
            while not await self._is_ready():
                await asyncio.sleep(0.02)

    async def start_next(self) -> None:
        """Start a process beside the present one, and wait until it has taken over its listener."""
        config = json.loads((self.folder / "config.json").read_text())
        self.console_port = free_port()
        config["console"] = f"127.0.0.1:{self.console_port}"
        (self.folder / "config.json").write_text(json.dumps(config))
        await self.start()
        async with asyncio.timeout(30.0):
            while await self._console_status() != 200:
                await asyncio.sleep(0.02)

    async def _console_status(self) -> int:
        with suppress(OSError, asyncio.IncompleteReadError):
            return await ask(self.console_port, b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        return 0

    async def _is_ready(self) -> bool:
        with suppress(OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                return await ask(self.port, b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n") == 200
        return False

    async def stop(self, number: signal.Signals) -> None:
        """Send a signal that ends the process, and wait for its end."""
        self.record_peak()
        assert self.process is not None
        with suppress(ProcessLookupError):
            self.process.send_signal(number)
        await self.process.wait()

    def record_peak(self) -> None:
        """Read the largest resident memory of the process."""
        with suppress(OSError, StopIteration):
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
            peak = next(line for line in lines if line.startswith("VmHWM"))
            self.peak_mb = max(self.peak_mb, int(peak.split()[1]) / 1024)

    async def figures(self) -> dict[str, Any]:
        """Return the console's figures."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.console_port)
        writer.write(b"GET /-/metrics HTTP/1.1\r\nHost: h\r\n\r\n")
        text = await reader.read()
        writer.close()
        figures: dict[str, Any] = json.loads(text.partition(b"\r\n\r\n")[2])
        return figures

    def log(self) -> str:
        """Return the log of all processes so far."""
        return (self.folder / "log").read_text()


@asynccontextmanager
async def running_dispatcher(
    folder: Path,
    workers: Sequence[TimedWorker],
    memory_mb: int = 192,
    sockets: int = 1024,
    **config: object,
) -> AsyncIterator[Dispatcher]:
    """A dispatcher with a fixed list of workers; `config` adds tables to its configuration."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 4096)), hard))
    for worker in workers:
        await worker.start()
    dispatcher = Dispatcher(folder, free_port(), free_port(), memory_mb)
    content = {
        "name": "n0",
        "listen": f"127.0.0.1:{dispatcher.port}",
        "console": f"127.0.0.1:{dispatcher.console_port}",
        "discovery": {"kind": "static"},
        "known": endpoint_list(*[worker.port for worker in workers]),
        "limits": {"memory_mb": memory_mb, "sockets": sockets},
        "settings": {"classes": CLASSES},
        **config,
    }
    (folder / "config.json").write_text(json.dumps(content))
    try:
        await dispatcher.start()
        yield dispatcher
    finally:
        if dispatcher.running:
            await dispatcher.stop(signal.SIGKILL)
        for worker in workers:
            worker.close()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status of a response, and whether its connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
    await reader.readexactly(length)
    return int(head.split()[1]), b"connection: close" not in head


async def ask(port: int, data: bytes) -> int:
    """Return the status of the response to a request on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        return (await read_response(reader))[0]
    finally:
        writer.close()


async def send_and_stop(port: int, data: bytes, wait_s: float = CONNECT_TIMEOUT_S) -> bytes:
    """Send bytes, send nothing more, and return what came until the connection ended or `wait_s` passed."""
    received = b""
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(data)
                while part := await reader.read(65536):
                    received += part
            finally:
                writer.close()
    return received


@dataclass(slots=True)
class SoundClient:
    """A client that sends one request at a time and keeps its connection.

    Attributes:
        times_ms: how long each served request took.
        outcomes: how many requests ended in which way: a status, "crossed" where a kept connection was closed
            in the same moment (the request is sent once more), "lost" where a new one was closed without an
            answer, "late" where none came within the deadline.
    """

    dispatcher: Dispatcher
    body: bytes = b"abc"
    times_ms: list[float] = field(default_factory=list)
    outcomes: Counter[int | str] = field(default_factory=Counter)
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until `stop` is set."""
        while not stop.is_set():
            await self.request()
        self.close()

    async def request(self, retry: bool = False) -> None:
        """Send a request and record what came of it."""
        began_at = time.monotonic()
        is_new = self._writer is None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                status = await self._exchange()
        except TimeoutError:
            self.close()
            self.outcomes["late"] += 1
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            if is_new or retry:
                self.outcomes["lost"] += 1
            else:
                self.outcomes["crossed"] += 1
                await self.request(retry=True)
        else:
            self.outcomes[status] += 1
            if status == 200:
                self.times_ms.append(1000 * (time.monotonic() - began_at))

    async def _exchange(self) -> int:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.dispatcher.port)
        assert self._reader is not None
        self._writer.write(request(self.dispatcher.new_id(), self.body))
        status, keeps_open = await read_response(self._reader)
        if not keeps_open:
            self.close()
        return status

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
