"""A crowd of phones: a process that opens and holds thousands of connections and does as it is told.

    python -m eiderfield.lab.phones --target HOST:PORT --base 127.10.0.0 --addresses 256

Commands come as JSON lines on standard input, and each has one line for an answer:

    {"do": "open", "count": 1000}                   connects, one job served on each, then silence
    {"do": "wake", "count": 100, "seconds": 1.0}    jobs on connections picked at random, spread over the time
    {"do": "trickle", "count": 50, "gap": 0.5, "seconds": 4.0, "part": "head"}   one byte every so often
    {"do": "silent", "count": 50, "seconds": 4.0}   connects and says nothing
    {"do": "hang-up", "count": 10}                  closes connections picked at random
    {"do": "count"}                                 how many are open, and how many the dispatcher has closed

Theory of operation. One poll set, no threads. A phone is a socket and, while an answer to it is awaited, a
reader and the time at which its job was to leave; one that is silent costs nothing but its entry. Each
command turns the poll set until it is done, so what comes on other connections meanwhile is seen too.
"""

from __future__ import annotations

import ipaddress
import json
import random
import select
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from eiderfield.config import address_of
from eiderfield.lab.stream import LONGEST, histogram
from eiderfield.lab.wire import Reader, job_bytes
from eiderfield.net.http import MalformedMessageError

AT_ONCE = 8  # connections that are being opened at one time
DEADLINE = 10_000.0  # ms that each job may take
PATIENCE = 30.0  # s without any event for which a command waits before it gives up


class Phone:
    """A connection, and the job on it."""

    __slots__ = ("due", "reader", "sock", "told")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.reader: Reader | None = None  # while an answer is awaited
        self.due = 0.0
        self.told = 0  # bytes of a message that have left, for a trickler


class Crowd:
    """The phones of one process."""

    def __init__(self, target: tuple[str, int], sources: list[str], cls: str, name: str, seed: int) -> None:
        self._target = target
        self._sources = sources
        self._cls = cls
        self._name = name
        self._random = random.Random(seed)
        self._poll = select.epoll()
        self._phones: dict[int, Phone] = {}
        self._opened = 0
        self._jobs = 0
        self._waiting: set[int] = set()
        self._again: list[tuple[float, int]] | None = None  # whom to ask anew and when, where that is wanted
        self.closed = 0  # by the dispatcher, while nothing was owed
        self._statuses: Counter[str] = Counter()
        self._latencies: HdrHistogram = histogram()

    # What it is told to do.

    def open(self, count: int) -> dict[str, Any]:
        """Connects so many, one job on each, sent again after a decline."""
        start, left = time.monotonic(), count
        self._begin()
        self._again = []
        while left or self._waiting or self._again:
            now = time.monotonic()
            while self._again and self._again[0][0] <= now:
                _, fd = heappop(self._again)
                if fd in self._phones:
                    self._send(self._phones[fd], now)
            while left and len(self._waiting) + len(self._again) < AT_ONCE:
                left -= 1
                phone = self._connect()
                if phone is not None:
                    self._send(phone, now)
            wait = self._again[0][0] - now if self._again else PATIENCE
            if not self._look(max(0.0, wait)) and wait == PATIENCE:
                break
        self._again = None
        return self._end(seconds=time.monotonic() - start)

    def wake(self, count: int, seconds: float) -> dict[str, Any]:
        """Jobs on connections that were silent, at times fixed beforehand."""
        self._begin()
        fds = self._random.sample(sorted(self._phones), min(count, len(self._phones)))
        start = time.monotonic()
        for number, fd in enumerate(fds):
            due = start + seconds * number / len(fds)
            while (wait := due - time.monotonic()) > 0:
                self._look(wait)
            if fd in self._phones:
                self._send(self._phones[fd], due)
            else:
                self._statuses["gone before"] += 1
        while self._waiting and self._look(PATIENCE):
            pass
        return self._end(asked=len(fds))

    def trickle(self, count: int, gap: float, seconds: float, part: str) -> dict[str, Any]:
        """So many that write one byte every `gap` seconds, of a head or of a body."""
        message = job_bytes("drip", self._cls, "s1", DEADLINE, b"x" * 4096)
        head = message.index(b"\r\n\r\n") + 4
        first = message[: head if part == "body" else 1]
        self._begin()
        tricklers = [phone for phone in (self._connect() for _ in range(count)) if phone is not None]
        start = time.monotonic()
        ends: list[float] = []
        alive = []
        for phone in tricklers:
            phone.reader = Reader(answers=True)
            phone.due = start
            self._waiting.add(phone.sock.fileno())
            if self._write(phone, first):
                phone.told = len(first)
                alive.append(phone)
        while alive and time.monotonic() < start + seconds:
            until = time.monotonic() + gap
            while (wait := until - time.monotonic()) > 0 and self._waiting:
                self._look(wait)
            for phone in alive:
                if phone.sock.fileno() >= 0 and self._write(phone, message[phone.told : phone.told + 1]):
                    phone.told += 1
            ends += [time.monotonic() - start for phone in alive if phone.sock.fileno() < 0]
            alive = [phone for phone in alive if phone.sock.fileno() >= 0]
        for phone in alive:
            self._statuses["still open"] += 1
            self._drop(phone)
        return self._end(last=max(ends, default=0.0))

    def silent(self, count: int, seconds: float) -> dict[str, Any]:
        """So many that connect and say nothing; how many of them were closed, and when the last was."""
        self._begin()
        silent = [phone for phone in (self._connect() for _ in range(count)) if phone is not None]
        start, last = time.monotonic(), 0.0
        while any(phone.sock.fileno() >= 0 for phone in silent) and time.monotonic() < start + seconds:
            before = self.closed
            self._look(0.02)
            if self.closed > before:
                last = time.monotonic() - start
        closed = sum(phone.sock.fileno() < 0 for phone in silent)
        for phone in silent:
            self._drop(phone)
        return self._end(connected=len(silent), closed=closed, last=last)

    def hang_up(self, count: int) -> dict[str, Any]:
        """Closes so many, picked at random."""
        for fd in self._random.sample(sorted(self._phones), min(count, len(self._phones))):
            self._drop(self._phones[fd])
        return {"open": len(self._phones)}

    def count(self) -> dict[str, Any]:
        """How many are open, after a look at what has come."""
        while self._look(0.0):
            pass
        return {"open": len(self._phones), "closed": self.closed}

    def obey(self, told: dict[str, Any]) -> dict[str, Any]:
        """Carries a command out."""
        does: dict[str, Callable[..., dict[str, Any]]] = {
            "open": self.open, "wake": self.wake, "trickle": self.trickle, "silent": self.silent,
            "hang-up": self.hang_up, "count": self.count,
        }  # fmt: skip
        return does[told.pop("do")](**told)

    # How.

    def _begin(self) -> None:
        self._statuses.clear()
        self._latencies = histogram()

    def _end(self, **more: float) -> dict[str, Any]:
        for fd in list(self._waiting):
            self._statuses["none"] += 1
            self._drop(self._phones[fd])
        latencies = self._latencies.encode().decode()
        return {"statuses": dict(self._statuses), "latencies": latencies, "open": len(self._phones), **more}

    def _connect(self) -> Phone | None:
        source = self._sources[self._opened % len(self._sources)]
        self._opened += 1
        try:
            sock = socket.create_connection(self._target, 10.0, (source, 0))
        except OSError as error:
            self._statuses[f"connect: {error}"] += 1
            return None
        sock.setblocking(False)
        phone = Phone(sock)
        self._phones[sock.fileno()] = phone
        self._poll.register(sock.fileno(), select.EPOLLIN)
        return phone

    def _send(self, phone: Phone, due: float) -> None:
        self._jobs += 1
        phone.due = due
        phone.reader = Reader(answers=True)
        self._waiting.add(phone.sock.fileno())
        subject = f"s{self._random.randrange(97)}"
        self._write(phone, job_bytes(f"{self._name}-{self._jobs}", self._cls, subject, DEADLINE))

    def _write(self, phone: Phone, data: bytes) -> bool:
        try:
            phone.sock.send(data)
        except OSError:
            self._statuses["broken"] += phone.reader is not None
            self._drop(phone)
            return False
        return True

    def _look(self, wait: float) -> int:
        """Takes what has come; gives how many connections it came on."""
        events = self._poll.poll(wait, 256)
        for fd, _ in events:
            phone = self._phones.get(fd)
            if phone is not None:
                self._read(phone)
        return len(events)

    def _read(self, phone: Phone) -> None:
        try:
            data = phone.sock.recv(65536)
            heads = phone.reader.feed(data) if phone.reader is not None else []
        except (OSError, MalformedMessageError):
            data, heads = b"", []
        for head in heads:
            taken = int((time.monotonic() - phone.due) * 1e6)
            self._latencies.record_value(min(LONGEST, max(1, taken)))
            self._statuses[str(head.status)] += 1
            self._waiting.discard(phone.sock.fileno())
            phone.reader = None
            if head.status == 503 and self._again is not None:
                wait = max(0.02, float(head.get("retry-after") or 0.0))
                heappush(self._again, (time.monotonic() + wait, phone.sock.fileno()))
        if not data:
            if phone.reader is not None:
                self._statuses["closed"] += 1
            self.closed += 1
            self._drop(phone)

    def _drop(self, phone: Phone) -> None:
        fd = phone.sock.fileno()
        if fd >= 0:
            self._waiting.discard(fd)
            del self._phones[fd]
            self._poll.unregister(fd)
            phone.sock.close()


def sources(base: str, count: int) -> list[str]:
    """So many loopback addresses from one on."""
    first = ipaddress.IPv4Address(base)
    found = [first + number for number in range(count)]
    if not all(address.is_loopback for address in found):
        raise click.BadParameter(f"{base}: the phones stay on loopback addresses")
    return [str(address) for address in found]


@click.command()
@click.option("--target", required=True, metavar="HOST:PORT")
@click.option("--base", default="127.10.0.0", help="the first address that the phones come from")
@click.option("--addresses", default=256, help="how many there are")
@click.option("--class", "cls", default="claim-status")
@click.option("--name", default="phones", help="the beginning of each job's id")
@click.option("--seed", default=1)
def main(target: str, base: str, addresses: int, cls: str, name: str, seed: int) -> None:
    """Opens and holds connections as it is told on standard input."""
    crowd = Crowd(address_of(target, "--target"), sources(base, addresses), cls, name, seed)
    for line in sys.stdin:
        click.echo(json.dumps(crowd.obey(json.loads(line))))
        sys.stdout.flush()


if __name__ == "__main__":
    main()
