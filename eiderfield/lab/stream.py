"""A fixed stream of jobs in an open loop, in a process of its own, with latencies from the scheduled times.

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
from dataclasses import asdict, dataclass, field

import click
from hdrh.histogram import HdrHistogram

from eiderfield.config.address import parse_address
from eiderfield.lab.wire import Reader, job_bytes
from eiderfield.net.http import MalformedMessageError

LONGEST = 60_000_000  # µs that the histogram holds
DIGITS = 3
DEADLINE_MS = 5000.0  # that each job may take
SPIN_S = 0.002  # before a job's time at which the poll no longer sleeps
LEAD_S = 0.05  # from the stream's start to its first job
POLL_S = 0.05
PATIENCE_S = 1.0  # beyond the deadline, for which answers are waited for
MAX_EVENTS = 64  # of one poll
READ_SIZE = 65536
SUBJECTS = 97
BODY = b"x" * 64


def histogram() -> HdrHistogram:
    """An empty one, in microseconds."""
    return HdrHistogram(1, LONGEST, DIGITS)


@dataclass(frozen=True, slots=True)
class StreamReport:
    """What became of a stream's jobs. The histograms are texts."""

    sent: int
    statuses: dict[str, int]
    latencies: str
    lateness: str  # of the stream itself: how long after its time each job left

    def latency_histogram(self) -> HdrHistogram:
        """The latencies, in microseconds."""
        return HdrHistogram.decode(self.latencies.encode())

    def lateness_histogram(self) -> HdrHistogram:
        """By how much jobs left late, in microseconds."""
        return HdrHistogram.decode(self.lateness.encode())

    def to_line(self) -> str:
        """The report as a line."""
        return json.dumps(asdict(self))

    @classmethod
    def from_line(cls, line: str) -> StreamReport:
        """The report of a line."""
        return cls(**json.loads(line))


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
        self._interval = 1.0 / rate
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
        start = time.monotonic() + LEAD_S
        count = int(seconds / self._interval)
        while self.sent < count:
            due = start + self.sent * self._interval
            now = time.monotonic()
            if now >= due:
                self._send(due)
            else:
                self._take_events(max(0.0, due - now - SPIN_S))
        end = time.monotonic() + DEADLINE_MS / 1000.0 + PATIENCE_S
        while len(self._free) < len(self._connections) and time.monotonic() < end:
            self._take_events(POLL_S)
        self.statuses["none"] += len(self._connections) - len(self._free)

    def _send(self, due: float) -> None:
        fd = self._free.pop() if self._free else self._connect()
        connection = self._connections[fd]
        connection.due = due
        self.sent += 1
        id_ = f"{self._name}-{self.sent}"
        connection.sock.sendall(job_bytes(id_, self._cls, f"s{self.sent % SUBJECTS}", DEADLINE_MS, BODY))
        self.lateness.record_value(max(1, int((time.monotonic() - due) * 1e6)))

    def _connect(self) -> int:
        sock = socket.create_connection(self._target, 5.0, (self._source, 0))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[sock.fileno()] = Connection(sock)
        self._poll.register(sock.fileno(), select.EPOLLIN)
        return sock.fileno()

    def _take_events(self, wait: float) -> None:
        for fd, _ in self._poll.poll(wait, MAX_EVENTS):
            connection = self._connections[fd]
            try:
                data = connection.sock.recv(READ_SIZE)
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

    def report(self) -> StreamReport:
        """What became of the jobs."""
        return StreamReport(
            sent=self.sent,
            statuses=dict(self.statuses),
            latencies=self.latencies.encode().decode(),
            lateness=self.lateness.encode().decode(),
        )


@click.command()
@click.option("--target", required=True, metavar="HOST:PORT")
@click.option("--rate", default=300.0, help="jobs a second")
@click.option("--seconds", default=10.0)
@click.option("--class", "cls", default="claim-status")
@click.option("--source", default="127.0.0.1", help="the address that it sends from")
@click.option("--name", default="stream", help="the beginning of each job's id")
def main(target: str, rate: float, seconds: float, cls: str, source: str, name: str) -> None:
    """Sends a stream of jobs and reports their latencies as JSON."""
    stream = Stream(parse_address(target, "--target"), rate, cls, source, name)
    stream.run(seconds)
    click.echo(stream.report().to_line())


if __name__ == "__main__":
    main()
