"""The clients of one dispatcher: an open loop of requests, on connections that are kept and reused."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from eiderfield.lab.scale.plan import CLASS_NAME, DEADLINE_MS, PlannedRequest

GRACE_S = 0.5  # time past its deadline that a client still reads
NO_ANSWER = "none"  # status of a request whose connection broke or stayed silent

ClientConnection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass
class ClientResults:
    """What became of a day's requests."""

    latencies_ms: list[float] = field(default_factory=list)  # of those served in time
    statuses: Counter[str] = field(default_factory=Counter)
    lateness_ms: float = 0.0  # the most that a request left after its time, by the clients' own fault


class Clients:
    """Sends requests at their times, whether or not earlier ones have been answered."""

    def __init__(self, host: str, port: int) -> None:
        """Sends to the dispatcher at this address."""
        self.results = ClientResults()
        self._host = host
        self._port = port
        self._idle: list[ClientConnection] = []

    async def play(self, requests: list[PlannedRequest], start: float) -> None:
        """Sends all requests and waits for their ends; `start` is a time of `time.monotonic`."""
        tasks = []
        for request in requests:
            due = start + request.at
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self._send(request, due)))
        await asyncio.gather(*tasks)
        for _, writer in self._idle:
            writer.close()

    async def _send(self, request: PlannedRequest, due: float) -> None:
        lateness = (time.monotonic() - due) * 1000.0
        self.results.lateness_ms = max(self.results.lateness_ms, lateness)
        connection: ClientConnection | None = None
        status = NO_ANSWER
        with suppress(OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000.0 + GRACE_S):
                connection = await self._connect()
                connection[1].write(request_bytes(request))
                status, kept = await read_answer(connection[0], request.request_id)
        if connection is not None and status != NO_ANSWER and kept:
            self._idle.append(connection)
        elif connection is not None:
            connection[1].transport.abort()
        latency = (time.monotonic() - due) * 1000.0
        if status == "200" and latency > DEADLINE_MS:
            status = "late"
        self.results.statuses[status] += 1
        if status == "200":
            self.results.latencies_ms.append(latency)

    async def _connect(self) -> ClientConnection:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(self._host, self._port)


def request_bytes(request: PlannedRequest) -> bytes:
    """A client's message."""
    lines = [
        f"POST /{CLASS_NAME}/{request.subject} HTTP/1.1",
        "Host: lab",
        f"X-Request-Id: {request.request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS:.0f}",
        "Content-Length: 0",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def read_answer(reader: asyncio.StreamReader, request_id: str) -> tuple[str, bool]:
    """The status of an answer, and whether its connection may be used again.

    Raises `ValueError` where a result is not the one that the worker made for this request.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    status = head[0].split()[1]
    if status == "200" and body.decode() not in (request_id, json.dumps(request_id)):
        raise ValueError("the result is another request's")
    return status, headers.get("connection", "").lower() != "close"
