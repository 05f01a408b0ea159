"""Idle clients: a process that opens and holds thousands of connections, and does as it is told.

    python -m eiderfield.lab.idle_clients --target HOST:PORT --base 127.10.0.0 --addresses 256

Commands (`idle_commands.py`) come as JSON lines on standard input, and each has one line for its report.

Theory of operation. One poll set, no threads. A client is a socket and, while an answer to it is awaited, a
reader and the time at which its job was to leave; one that is silent costs nothing but its entry. Each
command turns the poll set until it is done, so what comes on other connections meanwhile is seen too.
"""

from __future__ import annotations

import ipaddress
import random
import select
import socket
import sys
import time
from collections import Counter
from dataclasses import replace
from heapq import heappop, heappush

import click
from hdrh.histogram import HdrHistogram

from eiderfield.config.address import parse_address
from eiderfield.lab.idle_commands import (
    Command,
    Connect,
    ConnectSilently,
    HangUp,
    Report,
    Trickle,
    Wake,
    decode_command,
    encode_report,
)
from eiderfield.lab.stream import LONGEST, histogram
from eiderfield.lab.wire import Reader, job_bytes
from eiderfield.net.http import MalformedMessageError

AT_ONCE = 8  # connections that are being opened at one time
DEADLINE_MS = 10_000.0  # that each job may take
EVENT_TIMEOUT_S = 30.0  # without any event until a command ends
CONNECT_TIMEOUT_S = 10.0
CLOSED_POLL_S = 0.02
LEAST_RETRY_AFTER_S = 0.02
MAX_EVENTS = 256  # of one poll
READ_SIZE = 65536
SUBJECTS = 97
TRICKLED_BODY = b"x" * 4096
HEAD_END = b"\r\n\r\n"
REJECTED = 503
NO_DESCRIPTOR = -1


class IdleClient:
    """A connection, and the job on it."""

    __slots__ = ("due", "reader", "sock", "written")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.reader: Reader | None = None  # while an answer is awaited
        self.due = 0.0
        self.written = 0  # bytes of a message that have left, for one that trickles

    @property
    def is_open(self) -> bool:
        """Whether its connection is there."""
        return self.sock.fileno() != NO_DESCRIPTOR


class IdleClients:
    """The clients of one process."""

    def __init__(self, target: tuple[str, int], sources: list[str], cls: str, name: str, seed: int) -> None:
        self._target = target
        self._sources = sources
        self._cls = cls
        self._name = name
        self._random = random.Random(seed)
        self._poll = select.epoll()
        self._clients: dict[int, IdleClient] = {}  # by descriptor
        self._opened = 0
        self._jobs = 0
        self._waiting: set[int] = set()
        self._retries: list[tuple[float, int]] | None = None  # heap of when and who, where retries are wanted
        self._closed = 0  # by the dispatcher
        self._statuses: Counter[str] = Counter()
        self._latencies: HdrHistogram = histogram()

    def carry_out(self, command: Command) -> Report:
        """Carries a command out."""
        if isinstance(command, Connect):
            return self.connect(command)
        if isinstance(command, Wake):
            return self.wake(command)
        if isinstance(command, Trickle):
            return self.trickle(command)
        if isinstance(command, ConnectSilently):
            return self.connect_silently(command)
        if isinstance(command, HangUp):
            return self.hang_up(command)
        return self.count()

    def connect(self, command: Connect) -> Report:
        """Opens connections, with one job on each, sent again after a rejection."""
        start, left = time.monotonic(), command.count
        self._begin()
        self._retries = []
        while left or self._waiting or self._retries:
            now = time.monotonic()
            self._send_retries(now)
            while left and len(self._waiting) + len(self._retries) < AT_ONCE:
                left -= 1
                client = self._open_connection()
                if client is not None:
                    self._send(client, now)
            wait = self._retries[0][0] - now if self._retries else EVENT_TIMEOUT_S
            if not self._take_events(max(0.0, wait)) and wait == EVENT_TIMEOUT_S:
                break
        self._retries = None
        return replace(self._report(), seconds=time.monotonic() - start)

    def wake(self, command: Wake) -> Report:
        """Sends jobs on connections that were silent, at times fixed beforehand."""
        self._begin()
        descriptors = self._sample(command.count)
        start = time.monotonic()
        for number, descriptor in enumerate(descriptors):
            due = start + command.seconds * number / len(descriptors)
            self._take_events_until(due)
            if descriptor in self._clients:
                self._send(self._clients[descriptor], due)
            else:
                self._statuses["gone before"] += 1
        while self._waiting and self._take_events(EVENT_TIMEOUT_S):
            pass
        return self._report()

    def trickle(self, command: Trickle) -> Report:
        """Opens connections that write one byte every so often, until the dispatcher closes them."""
        message = job_bytes("drip", self._cls, "s1", DEADLINE_MS, TRICKLED_BODY)
        head_size = message.index(HEAD_END) + len(HEAD_END)
        first = message[: head_size if command.part == "body" else 1]
        self._begin()
        opened = self._open_many(command.count)
        start = time.monotonic()
        clients = [client for client in opened if self._begin_message(client, first)]
        last = 0.0
        while clients and time.monotonic() < start + command.seconds:
            self._take_events_until(time.monotonic() + command.interval, while_waiting=True)
            for client in clients:
                self._write_byte(client, message)
            if any(not client.is_open for client in clients):
                last = time.monotonic() - start
            clients = [client for client in clients if client.is_open]
        for client in clients:
            self._statuses["still open"] += 1
            self._drop(client)
        return replace(self._report(), last=last)

    def connect_silently(self, command: ConnectSilently) -> Report:
        """Open connections that send nothing; return how many were closed, and when the last one was."""
        self._begin()
        clients = self._open_many(command.count)
        start, last = time.monotonic(), 0.0
        while any(client.is_open for client in clients) and time.monotonic() < start + command.seconds:
            before = self._closed
            self._take_events(CLOSED_POLL_S)
            if self._closed > before:
                last = time.monotonic() - start
        closed = sum(not client.is_open for client in clients)
        for client in clients:
            self._drop(client)
        return replace(self._report(), connected=len(clients), closed=closed, last=last)

    def hang_up(self, command: HangUp) -> Report:
        """Closes connections picked at random."""
        for descriptor in self._sample(command.count):
            self._drop(self._clients[descriptor])
        return Report(open=len(self._clients))

    def count(self) -> Report:
        """How many are open, after a look at what has come."""
        while self._take_events(0.0):
            pass
        return Report(open=len(self._clients), closed=self._closed)

    def _begin(self) -> None:
        self._statuses.clear()
        self._latencies = histogram()

    def _report(self) -> Report:
        """The report of a command; whoever still waits for an answer has none."""
        for descriptor in list(self._waiting):
            self._statuses["none"] += 1
            self._drop(self._clients[descriptor])
        return Report(
            open=len(self._clients),
            statuses=dict(self._statuses),
            latencies=self._latencies.encode().decode(),
        )

    def _sample(self, count: int) -> list[int]:
        """The descriptors of so many clients picked at random."""
        return self._random.sample(sorted(self._clients), min(count, len(self._clients)))

    def _open_many(self, count: int) -> list[IdleClient]:
        opened = [self._open_connection() for _ in range(count)]
        return [client for client in opened if client is not None]

    def _open_connection(self) -> IdleClient | None:
        source = self._sources[self._opened % len(self._sources)]
        self._opened += 1
        try:
            sock = socket.create_connection(self._target, CONNECT_TIMEOUT_S, (source, 0))
        except OSError as error:
            self._statuses[f"connect: {error}"] += 1
            return None
        sock.setblocking(False)
        client = IdleClient(sock)
        self._clients[sock.fileno()] = client
        self._poll.register(sock.fileno(), select.EPOLLIN)
        return client

    def _send(self, client: IdleClient, due: float) -> None:
        self._jobs += 1
        subject = f"s{self._random.randrange(SUBJECTS)}"
        self._await_answer(client, due)
        self._write(client, job_bytes(f"{self._name}-{self._jobs}", self._cls, subject, DEADLINE_MS))

    def _send_retries(self, now: float) -> None:
        while self._retries and self._retries[0][0] <= now:
            _, descriptor = heappop(self._retries)
            if descriptor in self._clients:
                self._send(self._clients[descriptor], now)

    def _await_answer(self, client: IdleClient, due: float) -> None:
        client.due = due
        client.reader = Reader(answers=True)
        self._waiting.add(client.sock.fileno())

    def _begin_message(self, client: IdleClient, first: bytes) -> bool:
        """Writes the first bytes of a message; whether the connection bears it."""
        self._await_answer(client, time.monotonic())
        client.written = len(first)
        return self._write(client, first)

    def _write_byte(self, client: IdleClient, message: bytes) -> None:
        if client.is_open and self._write(client, message[client.written : client.written + 1]):
            client.written += 1

    def _write(self, client: IdleClient, data: bytes) -> bool:
        try:
            client.sock.send(data)
        except OSError:
            self._statuses["broken"] += client.reader is not None
            self._drop(client)
            return False
        return True

    def _take_events_until(self, due: float, while_waiting: bool = False) -> None:
        while (wait := due - time.monotonic()) > 0 and (self._waiting or not while_waiting):
            self._take_events(wait)

    def _take_events(self, timeout: float) -> int:
        """Takes what has come; gives how many connections it came on."""
        events = self._poll.poll(timeout, MAX_EVENTS)
        for descriptor, _ in events:
            client = self._clients.get(descriptor)
            if client is not None:
                self._read(client)
        return len(events)

    def _read(self, client: IdleClient) -> None:
        try:
            data = client.sock.recv(READ_SIZE)
            heads = client.reader.feed(data) if client.reader is not None else []
        except (OSError, MalformedMessageError):
            data, heads = b"", []
        for head in heads:
            self._take_answer(client, head.status, head.get("retry-after"))
        if not data:
            if client.reader is not None:
                self._statuses["closed"] += 1
            self._closed += 1
            self._drop(client)

    def _take_answer(self, client: IdleClient, status: int, retry_after: str) -> None:
        taken = int((time.monotonic() - client.due) * 1e6)
        self._latencies.record_value(min(LONGEST, max(1, taken)))
        self._statuses[str(status)] += 1
        self._waiting.discard(client.sock.fileno())
        client.reader = None
        if status == REJECTED and self._retries is not None:
            wait = max(LEAST_RETRY_AFTER_S, float(retry_after or 0.0))
            heappush(self._retries, (time.monotonic() + wait, client.sock.fileno()))

    def _drop(self, client: IdleClient) -> None:
        descriptor = client.sock.fileno()
        if descriptor != NO_DESCRIPTOR:
            self._waiting.discard(descriptor)
            del self._clients[descriptor]
            self._poll.unregister(descriptor)
            client.sock.close()


def sources(base: str, count: int) -> list[str]:
    """So many loopback addresses from one on."""
    first = ipaddress.IPv4Address(base)
    found = [first + number for number in range(count)]
    if not all(address.is_loopback for address in found):
        raise click.BadParameter(f"{base}: the clients stay on loopback addresses")
    return [str(address) for address in found]


@click.command()
@click.option("--target", required=True, metavar="HOST:PORT")
@click.option("--base", default="127.10.0.0", help="the first address that the clients come from")
@click.option("--addresses", default=256, help="how many there are")
@click.option("--class", "cls", default="claim-status")
@click.option("--name", default="idle", help="the beginning of each job's id")
@click.option("--seed", default=1)
def main(target: str, base: str, addresses: int, cls: str, name: str, seed: int) -> None:
    """Open and hold connections as commanded on standard input."""
    clients = IdleClients(parse_address(target, "--target"), sources(base, addresses), cls, name, seed)
    for line in sys.stdin:
        click.echo(encode_report(clients.carry_out(decode_command(line))))
        sys.stdout.flush()


if __name__ == "__main__":
    main()
