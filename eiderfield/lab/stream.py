"""A fixed stream of jobs in an open loop, as a process of its own, with latencies from the scheduled times.

    python -m eiderfield.lab.stream --target HOST:PORT --rate 300 --seconds 10

Theory of operation. Jobs have their times before the run begins: one every 1 / rate seconds. At its time a
job is written to a connection that is free, or to a new one: nothing waits for an answer to an earlier job,
and what the client itself was late by counts as latency. So a dispatcher that stands still for a second
shows in every job of that second, and not in one. The histogram (HDR, three digits) goes out as text on
standard output.
"""

from __future__ import annotations

import json
import select
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from eiderfield.config import address_of
from eiderfield.lab.wire import Reader, job_bytes
from eiderfield.net.http import MalformedMessageError

LONGEST = 60_000_000  # µs that the histogram holds
DIGITS = 3
DEADLINE = 5000.0  # ms that each job may take
SPIN = 0.002  # s before a job's time at which the poll no longer sleeps


def histogram() -> HdrHistogram:
    """An empty one, in microseconds."""
    return HdrHistogram(1, LONGEST, DIGITS)


@dataclass
class Connection:
    """A client's connection."""

    sock: socket.socket
    due: float = 0.0  # when the job that is out was to leave
    reader: Reader = field(default_factory=lambda: Reader(answers=True))


class Stream:
    """The jobs and the connections that carry them."""

    def __init__(self, target: tuple[str, int], rate: float, cls: str, source: str, name: str) -> None:
        self._target = target
        self._gap = 1.0 / rate
        self._cls = cls
        self._source = source
        self._name = name
        self._poll = select.epoll()
        self._connections: dict[int, Connection] = {}
        self._free: list[int] = []
        self.latencies = histogram()
        self.lateness = histogram()  # of the stream itself: how long after its time each job left
        self.statuses: Counter[str] = Counter()
        self.sent = 0

    def run(self, seconds: float) -> None:
        """Sends for so long, then waits for what is out."""
        start = time.monotonic() + 0.05
        count = int(seconds / self._gap)
        while self.sent < count:
            due = start + self.sent * self._gap
            now = time.monotonic()
            if now >= due:
                self._send(due)
            else:
                self._look(max(0.0, due - now - SPIN))
        end = time.monotonic() + DEADLINE / 1000.0 + 1.0
        while len(self._free) < len(self._connections) and time.monotonic() < end:
            self._look(0.05)
        self.statuses["none"] += len(self._connections) - len(self._free)

    def _send(self, due: float) -> None:
        fd = self._free.pop() if self._free else self._connect()
        connection = self._connections[fd]
        connection.due = due
        self.sent += 1
        id_ = f"{self._name}-{self.sent}"
        connection.sock.sendall(job_bytes(id_, self._cls, f"s{self.sent % 97}", DEADLINE, b"x" * 64))
        self.lateness.record_value(max(1, int((time.monotonic() - due) * 1e6)))

    def _connect(self) -> int:
        sock = socket.create_connection(self._target, 5.0, (self._source, 0))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[sock.fileno()] = Connection(sock)
        self._poll.register(sock.fileno(), select.EPOLLIN)
        return sock.fileno()

    def _look(self, wait: float) -> None:
        for fd, _ in self._poll.poll(wait, 64):
            connection = self._connections[fd]
            try:
                data = connection.sock.recv(65536)
                heads = connection.reader.feed(data)
            except (OSError, MalformedMessageError):
                data, heads = b"", []
            for head in heads:
                took = int((time.monotonic() - connection.due) * 1e6)
                self.latencies.record_value(min(LONGEST, max(1, took)))
                self.statuses[str(head.status)] += 1
                self._free.append(fd)
            if not data:
                self._close(fd)

    def _close(self, fd: int) -> None:
        connection = self._connections.pop(fd)
        if fd in self._free:
            self._free.remove(fd)
        else:
            self.statuses["closed"] += 1
        self._poll.unregister(fd)
        connection.sock.close()

    def told(self) -> dict[str, Any]:
        """The result, in plain values."""
        return {
            "sent": self.sent,
            "statuses": dict(self.statuses),
            "latencies": self.latencies.encode().decode(),
            "lateness": self.lateness.encode().decode(),
        }


@click.command()
@click.option("--target", required=True, metavar="HOST:PORT")
@click.option("--rate", default=300.0, help="jobs a second")
@click.option("--seconds", default=10.0)
@click.option("--class", "cls", default="claim-status")
@click.option("--source", default="127.0.0.1", help="the address that it sends from")
@click.option("--name", default="stream", help="the beginning of each job's id")
def main(target: str, rate: float, seconds: float, cls: str, source: str, name: str) -> None:
    """Sends a stream of jobs and tells their latencies as JSON."""
    stream = Stream(address_of(target, "--target"), rate, cls, source, name)
    stream.run(seconds)
    click.echo(json.dumps(stream.told()))


if __name__ == "__main__":
    main()
