"""What the laboratory's clients and workers write and read: whole messages on sockets of their own."""

from __future__ import annotations

import json

from eiderfield.net.http import END, Head, Parser


def job_bytes(id_: str, cls: str, subject: str, deadline: float, body: bytes = b"") -> bytes:
    """A client's request for a job; `deadline` in ms."""
    lines = [
        f"POST /{cls}/{subject} HTTP/1.1",
        "Host: lab",
        f"X-Request-Id: {id_}",
        f"Idempotency-Key: {id_}",
        f"X-Deadline-Ms: {deadline:.0f}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def result_bytes(id_: str, result: str = "") -> bytes:
    """A worker's whole answer to a job."""
    states = [{"state": "started"}, {"state": "done", "result": result}]
    lines = [json.dumps({"id": id_, "from": "lab", **state}).encode() + b"\n" for state in states]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(line), line) for line in lines)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class Reader:
    """Whole messages out of pieces. Raises `MalformedMessageError` on what is none."""

    def __init__(self, answers: bool) -> None:
        self._parser = Parser(responses=answers)
        self._head: Head | None = None

    def feed(self, data: bytes) -> list[Head]:
        """The heads of the messages that these bytes complete."""
        found = []
        self._parser.feed(data)
        while (got := self._parser.poll()) is not None:
            if isinstance(got, Head):
                self._head = got
            elif got is END and self._head is not None:
                found.append(self._head)
                self._head = None
        return found
