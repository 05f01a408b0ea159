"""Child processes of an experiment, and what is asked of them. They run on loopback addresses alone."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping

from eiderfield.errors import EiderfieldError
from eiderfield.lab.usage import Usage, usage

START_TIMEOUT_S = 30.0  # in which a process may start, or reach a state that was asked for
POLL_S = 0.05
READ_SIZE = 65536


class LabError(EiderfieldError, RuntimeError):
    """A process did not do what the experiment needs."""


def call_console(
    address: tuple[str, int], path: str, method: str = "GET", timeout: float = 5.0
) -> tuple[int, bytes]:
    """Calls a console; the status and the body."""
    with socket.create_connection(address, timeout) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n".encode())
        answer = b""
        while data := sock.recv(READ_SIZE):
            answer += data
    head, _, body = answer.partition(b"\r\n\r\n")
    if not head:
        raise OSError("the console closed without an answer")
    return int(head.split()[1]), body


def wait_for(what: str, is_true: Callable[[], bool], timeout: float = START_TIMEOUT_S) -> None:
    """Looks again and again until something is true; raises `LabError` if it does not become so."""
    end = time.monotonic() + timeout
    while not is_true():
        if time.monotonic() > end:
            raise LabError(f"not within {timeout:g} s: {what}")
        time.sleep(POLL_S)


class Process:
    """A child of the experiment."""

    def __init__(
        self, arguments: list[str], environ: Mapping[str, str] | None = None, takes_input: bool = False
    ) -> None:
        self._child = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            env={**os.environ, **(environ or {})},
            text=True,
            stdin=subprocess.PIPE if takes_input else subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

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

    def read_line(self) -> str:
        """The next line that it writes."""
        assert self._child.stdout is not None
        line = self._child.stdout.readline()
        if not line:
            raise LabError(f"{self._child.args!r} ended with {self._child.wait()}")
        return line

    def write_line(self, line: str) -> None:
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
