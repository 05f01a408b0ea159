"""Processes of one experiment on loopback addresses: dispatchers, workers, phones and streams of jobs.

All of them are children of the experiment, and all end with it.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, TypeVar

from hdrh.histogram import HdrHistogram

from eiderfield.lab.ports import free_port
from eiderfield.lab.usage import Usage, usage

P = TypeVar("P", bound="Process")

PATIENCE = 30.0  # s for which a process may start, or reach a state that was asked for
CLASSES: list[dict[str, Any]] = [
    {"name": "claim-status", "value": 5, "goal_time": 250, "give_up": 5000, "idempotency": "retryable"},
    {"name": "loss-report", "value": 3, "goal_time": 400, "give_up": 12000, "idempotency": "dedup",
     "key_scope": "all", "repeat_window": 20000},
]  # fmt: skip


class RigError(RuntimeError):
    """A process did not do what the experiment needs."""


def call(
    address: tuple[str, int], path: str, method: str = "GET", patience: float = 5.0
) -> tuple[int, bytes]:
    """A call at a console: the status and the body."""
    with socket.create_connection(address, patience) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n".encode())
        got = b""
        while data := sock.recv(65536):
            got += data
    head, _, body = got.partition(b"\r\n\r\n")
    if not head:
        raise OSError("the console closed without an answer")
    return int(head.split()[1]), body


def wait_for(what: str, true: Callable[[], bool], patience: float = PATIENCE) -> None:
    """Looks again and again until something is true; raises `RigError` if it does not become so."""
    end = time.monotonic() + patience
    while not true():
        if time.monotonic() > end:
            raise RigError(f"not within {patience:g} s: {what}")
        time.sleep(0.05)


def decode(text: str) -> HdrHistogram:
    """A histogram out of its text."""
    return HdrHistogram.decode(text.encode())


class Process:
    """A child of the experiment."""

    def __init__(
        self, words: list[str], environ: Mapping[str, str] | None = None, talks: bool = False
    ) -> None:
        pipe = subprocess.PIPE
        self._child = subprocess.Popen(
            [sys.executable, "-m", *words], env={**os.environ, **(environ or {})}, text=True,
            stdin=pipe if talks else subprocess.DEVNULL, stdout=pipe, stderr=subprocess.DEVNULL,
        )  # fmt: skip

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        return self._child.poll() is None

    def usage(self) -> Usage:
        """What it has used so far."""
        return usage(self.pid)

    def line(self) -> str:
        """The next line that it writes."""
        assert self._child.stdout is not None
        line = self._child.stdout.readline()
        if not line:
            raise RigError(f"{self._child.args!r} ended with {self._child.wait()}")
        return line

    def say(self, line: str) -> None:
        """Writes a line to it."""
        assert self._child.stdin is not None
        self._child.stdin.write(line + "\n")
        self._child.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Sends it a signal."""
        self._child.send_signal(number)

    def end(self) -> None:
        """Ends it at once."""
        if self.alive:
            self._child.kill()
        self._child.wait()
        for pipe in (self._child.stdin, self._child.stdout):
            if pipe is not None:
                pipe.close()


class Phones(Process):
    """A crowd's process."""

    def __init__(self, target: str, base: str, addresses: int, name: str) -> None:
        super().__init__(
            ["eiderfield.lab.phones", "--target", target, "--base", base, "--addresses", str(addresses),
             "--name", name],
            talks=True,
        )  # fmt: skip

    def begin(self, do: str, **more: Any) -> None:
        """Tells it to do something; `result` waits for the answer."""
        self.say(json.dumps({"do": do, **more}))

    def result(self) -> dict[str, Any]:
        """The answer to what it was told."""
        told: dict[str, Any] = json.loads(self.line())
        return told

    def ask(self, do: str, **more: Any) -> dict[str, Any]:
        """Tells it to do something and waits for the answer."""
        self.begin(do, **more)
        return self.result()


class Stream(Process):
    """A stream of jobs."""

    def __init__(self, target: str, rate: float, seconds: float, source: str, name: str) -> None:
        super().__init__(
            ["eiderfield.lab.stream", "--target", target, "--rate", str(rate), "--seconds", str(seconds),
             "--source", source, "--name", name]
        )  # fmt: skip

    def result(self) -> dict[str, Any]:
        """What became of its jobs."""
        told: dict[str, Any] = json.loads(self.line())
        self.end()
        return told


class Dispatcher(Process):
    """A dispatcher with a console."""

    def __init__(self, folder: Path, name: str, config: dict[str, Any], workers: list[str]) -> None:
        self.listen = f"127.0.0.1:{free_port()}"
        self.console = ("127.0.0.1", free_port())
        self._path = folder / f"{name}.json"
        endpoints = [
            {"name": f"w{number}", "address": address, "zone": "here", "status": "SERVING", "since_ms": 0}
            for number, address in enumerate(workers)
        ]
        self.config = {
            "name": name, "listen": self.listen, "console": f"127.0.0.1:{self.console[1]}",
            "discovery": {"kind": "static"},
            "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
            "settings": {"classes": CLASSES, "zones": ["here"], "family_info": {"tells_start": True}},
            **config,
        }  # fmt: skip
        self._write()
        super().__init__(["eiderfield"], {"LB_CONFIG": str(self._path), "TMPDIR": str(folder)})
        wait_for(f"{name} is ready", self._ready)

    def reload(self, **config: Any) -> None:
        """Gives it a new configuration."""
        self.config.update(config)
        self._write()
        self.signal(signal.SIGHUP)

    def figures(self) -> dict[str, Any]:
        """What its console says."""
        told: dict[str, Any] = json.loads(call(self.console, "/-/metrics")[1])
        return told

    def _write(self) -> None:
        self._path.write_text(json.dumps(self.config))

    def _ready(self) -> bool:
        if not self.alive:
            raise RigError("a dispatcher ended at its start")
        try:
            return call(self.console, "/-/ready")[0] == 200
        except OSError:
            return False


class Rig:
    """The processes of an experiment. Leaving it ends them all."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._stack = ExitStack()

    def __enter__(self) -> Rig:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._stack.close()

    def workers(self, count: int, delay: float = 0.0) -> list[str]:
        """A process that plays so many workers; their addresses."""
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(count)]
        process = self._keep(Process(["eiderfield.lab.worker", *addresses, "--delay", str(delay)]))
        process.line()
        return addresses

    def dispatcher(self, name: str, config: dict[str, Any], workers: list[str]) -> Dispatcher:
        """A dispatcher that serves."""
        return self._keep(Dispatcher(self._folder, name, config, workers))

    def phones(self, target: str, number: int, addresses: int = 256) -> Phones:
        """The crowd's process of this number, with addresses of its own."""
        return self._keep(Phones(target, f"127.{10 + number}.0.0", addresses, f"p{number}"))

    def stream(self, target: str, rate: float, seconds: float, name: str) -> Stream:
        """A stream of jobs, which begins at once."""
        return self._keep(Stream(target, rate, seconds, "127.9.0.1", name))

    def _keep(self, process: P) -> P:
        self._stack.callback(process.end)
        return process
