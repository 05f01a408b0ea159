"""The dispatcher under measurement: one real process, and what it uses."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

from eiderfield.lab.ports import free_port
from eiderfield.lab.processes import LabError
from eiderfield.lab.scale.plan import DayPlan, dispatcher_config
from eiderfield.lab.usage import open_descriptors, peak_memory, processor_seconds

START_S = 30.0  # in which a dispatcher has to be ready
STOP_S = 10.0  # in which it has to end after SIGTERM
READY_POLL_S = 0.05


class MeasuredDispatcher:
    """A dispatcher process with the peaks of what it uses."""

    def __init__(self, plan: DayPlan, folder: Path) -> None:
        """Keeps configuration and log in the folder."""
        self.host = "127.0.0.1"
        self.port = free_port()
        self.peak_descriptors = 0
        self._plan = plan
        self._folder = folder
        self._child: subprocess.Popen[bytes] | None = None

    async def start(self, discovery: str) -> None:
        """Starts the process and waits until it takes requests."""
        listen = f"{self.host}:{self.port}"
        path = self._folder / "config.json"
        path.write_text(json.dumps(dispatcher_config(self._plan, listen, discovery)))
        environ = {**os.environ, "LB_CONFIG": str(path), "LB_LISTEN": listen, "LB_DISCOVERY": discovery}
        environ |= {"TMPDIR": str(self._folder), "PYTHONPATH": str(self._plan.checkout)}
        self._child = subprocess.Popen(
            self._command(),
            cwd=self._plan.checkout,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=(self._folder / "dispatcher.log").open("wb"),
        )
        end = time.monotonic() + START_S
        while not await self._ready():
            if self._child.poll() is not None:
                raise LabError(f"the dispatcher ended with {self._child.returncode}: {self._log()}")
            if time.monotonic() > end:
                raise LabError(f"the dispatcher was not ready within {START_S:g} s: {self._log()}")
            await asyncio.sleep(READY_POLL_S)

    def sample(self) -> None:
        """Takes the peak of what is open; raises `LabError` if the process has ended."""
        try:
            self.peak_descriptors = max(self.peak_descriptors, open_descriptors(self._pid()))
        except OSError:
            raise LabError(f"the dispatcher ended during the day: {self._log()}") from None

    def processor_seconds(self) -> float:
        """Processor time so far, from the process's first moment."""
        return processor_seconds(self._pid())

    def peak_memory(self) -> int:
        """The most bytes that it has had resident."""
        return peak_memory(self._pid())

    async def stop(self) -> int:
        """Ends the process with SIGTERM; its exit code. One that doesn't end is killed."""
        if self._child is None:
            return 0
        self._child.terminate()
        with suppress(subprocess.TimeoutExpired):
            return await asyncio.to_thread(self._child.wait, STOP_S)
        self._child.kill()
        return self._child.wait()

    def _command(self) -> list[str]:
        if self._plan.profile is None:
            return [sys.executable, "-m", "eiderfield"]
        return [sys.executable, "-m", "cProfile", "-o", str(self._plan.profile.resolve()), "-m", "eiderfield"]

    def _pid(self) -> int:
        assert self._child is not None
        return self._child.pid

    async def _ready(self) -> bool:
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                line = await reader.readuntil(b"\r\n")
                writer.transport.abort()
                return b" 200 " in line
        return False

    def _log(self) -> str:
        return (self._folder / "dispatcher.log").read_text(errors="replace")[-500:]
