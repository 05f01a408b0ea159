"""The processes of one experiment: dispatchers, stand-in workers, idle clients and streams of jobs.

All of them are children of the experiment, and all end with it.
"""

from __future__ import annotations

import json
import signal
from contextlib import ExitStack
from http import HTTPStatus
from pathlib import Path
from types import TracebackType
from typing import Any, TypeVar

from eiderfield.lab.idle_commands import Command, Report, decode_report, encode_command
from eiderfield.lab.ports import free_port
from eiderfield.lab.processes import LabError, Process, call_console, wait_for
from eiderfield.lab.stream import StreamReport

CLASSES: list[dict[str, Any]] = [
    {"name": "claim-status", "value": 5, "goal_time": 250, "give_up": 5000, "idempotency": "retryable"},
    {
        "name": "loss-report",
        "value": 3,
        "goal_time": 400,
        "give_up": 12000,
        "idempotency": "dedup",
        "key_scope": "all",
        "repeat_window": 20000,
    },
]
STREAM_SOURCE = "127.9.0.1"  # the address that streams send from
FIRST_CLIENT_NETWORK = 10  # 127.10.0.0/16 is the first process's of idle clients
CLIENT_ADDRESSES = 256  # of one process of idle clients

Child = TypeVar("Child", bound=Process)


class IdleClientsProcess(Process):
    """A process of idle clients."""

    def __init__(self, target: str, base: str, addresses: int, name: str) -> None:
        arguments = ["--target", target, "--base", base, "--addresses", str(addresses), "--name", name]
        super().__init__(["eiderfield.lab.idle_clients", *arguments], takes_input=True)

    def begin(self, command: Command) -> None:
        """Sends a command; `report` waits for its end."""
        self.write_line(encode_command(command))

    def report(self) -> Report:
        """What came of the command that was sent."""
        return decode_report(self.read_line())

    def run(self, command: Command) -> Report:
        """Sends a command and waits for its end."""
        self.begin(command)
        return self.report()


class StreamProcess(Process):
    """A stream of jobs."""

    def __init__(self, target: str, rate: float, seconds: float, name: str) -> None:
        arguments = ["--target", target, "--rate", str(rate), "--seconds", str(seconds)]
        arguments += ["--source", STREAM_SOURCE, "--name", name]
        super().__init__(["eiderfield.lab.stream", *arguments])

    def report(self) -> StreamReport:
        """What became of its jobs, once all are over."""
        report = StreamReport.from_line(self.read_line())
        self.end()
        return report


class Dispatcher(Process):
    """A dispatcher with a console."""

    def __init__(self, folder: Path, name: str, config: dict[str, Any], workers: list[str]) -> None:
        self.listen = f"127.0.0.1:{free_port()}"
        self.console = ("127.0.0.1", free_port())
        self._path = folder / f"{name}.json"
        self.config = {
            "name": name,
            "listen": self.listen,
            "console": f"127.0.0.1:{self.console[1]}",
            "discovery": {"kind": "static"},
            "known": endpoint_list(workers),
            "settings": {"classes": CLASSES, "zones": ["here"], "family_info": {"tells_start": True}},
            **config,
        }
        self._write_config()
        super().__init__(["eiderfield"], {"LB_CONFIG": str(self._path), "TMPDIR": str(folder)})
        wait_for(f"{name} is ready", self._ready)

    def reload(self, **config: Any) -> None:
        """Gives it a new configuration."""
        self.config.update(config)
        self._write_config()
        self.signal(signal.SIGHUP)

    def figures(self) -> dict[str, Any]:
        """Return the figures of the dispatcher's console."""
        figures: dict[str, Any] = json.loads(call_console(self.console, "/-/metrics")[1])
        return figures

    def connections(self, figure: str) -> int:
        """A figure of its clients' connections."""
        return int(self.figures()["connections"][figure])

    def _write_config(self) -> None:
        self._path.write_text(json.dumps(self.config))

    def _ready(self) -> bool:
        if not self.alive:
            raise LabError("a dispatcher ended at its start")
        try:
            return call_console(self.console, "/-/ready")[0] == HTTPStatus.OK
        except OSError:
            return False


class Experiment:
    """The processes of an experiment. Leaving it ends them all."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._stack = ExitStack()

    def __enter__(self) -> Experiment:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._stack.close()

    def start_workers(self, count: int, delay: float = 0.0) -> list[str]:
        """Starts a process that plays so many workers; their addresses. `delay` is in ms."""
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(count)]
        process = self._keep(Process(["eiderfield.lab.worker", *addresses, "--delay", str(delay)]))
        process.read_line()
        return addresses

    def start_dispatcher(self, name: str, config: dict[str, Any], workers: list[str]) -> Dispatcher:
        """Starts a dispatcher, which serves."""
        return self._keep(Dispatcher(self._folder, name, config, workers))

    def start_idle_clients(
        self, target: str, number: int, addresses: int = CLIENT_ADDRESSES
    ) -> IdleClientsProcess:
        """Starts the process of idle clients of this number, with addresses of its own."""
        base = f"127.{FIRST_CLIENT_NETWORK + number}.0.0"
        return self._keep(IdleClientsProcess(target, base, addresses, f"p{number}"))

    def start_stream(self, target: str, rate: float, seconds: float, name: str) -> StreamProcess:
        """Starts a stream of jobs, which begins at once."""
        return self._keep(StreamProcess(target, rate, seconds, name))

    def _keep(self, process: Child) -> Child:
        self._stack.callback(process.end)
        return process


def endpoint_list(workers: list[str]) -> dict[str, Any]:
    """Workers at addresses as a whole endpoint list."""
    endpoints = [
        {"name": f"w{number}", "address": address, "zone": "here", "status": "SERVING", "since_ms": 0}
        for number, address in enumerate(workers)
    ]
    return {"index": 1, "snapshot": True, "endpoints": endpoints}


def split_evenly(total: int, parts: int) -> list[int]:
    """A number in so many parts that differ by one at most."""
    share, rest = divmod(total, parts)
    return [share + (number < rest) for number in range(parts)]
