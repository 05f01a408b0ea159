"""The program as a process, and stand-ins on loopback sockets for the workers and the discovery it calls."""

import json
import os
import queue
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "settings": {
        "classes": [
            {"name": "echo", "value": 1, "goal_time": 300, "give_up": 5000, "idempotency": "retryable"}
        ]
    },
}
JOB = b"POST /echo/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nContent-Length: 3\r\n\r\nabc"


class AnsweringWorker(threading.Thread):
    """A worker: one connection at a time, each request answered with a result."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.start()

    def run(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def hold(self) -> None:
        """Called before each answer."""

    def serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as lines:
            while True:
                headers = {}
                while (line := lines.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode().partition(":")
                    headers[name.lower()] = value.strip()
                if not headers:
                    return
                body = lines.read(int(headers.get("content-length", 0)))
                self.hold()
                told = {"id": headers["x-request-id"], "state": "done", "result": body.decode()[::-1]}
                text = json.dumps(told).encode() + b"\n"
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
                    % (len(text), text)
                )


class HoldingWorker(AnsweringWorker):
    """A worker that answers once it is let."""

    def __init__(self) -> None:
        self.came, self.let = threading.Event(), threading.Event()
        super().__init__()

    def hold(self) -> None:
        self.came.set()
        assert self.let.wait(30)


class DiscoveryServer(threading.Thread):
    """A discovery that names workers, the first of them `w`, and keeps the watch open."""

    def __init__(self, worker: int, *others: int) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.workers = {"w": worker, **{f"w{n}": port for n, port in enumerate(others, 2)}}
        self.asked: queue.Queue[bytes] = queue.Queue()
        self.ended: queue.Queue[bool] = queue.Queue()
        self.start()

    def run(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):  # the program may be gone by now
            self.asked.put(sock.recv(65536))
            endpoints = [
                {"name": name, "address": f"127.0.0.1:{port}", "status": "SERVING"}
                for name, port in self.workers.items()
            ]
            told = json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints}).encode() + b"\n"
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sock.sendall(b"%x\r\n%s\r\n" % (len(told), told))
            self.ended.put(sock.recv(65536) == b"")


DISPATCHER = (sys.executable, "-m", "eiderfield")


@contextmanager
def running_program(
    path: Path, command: Sequence[str] = DISPATCHER, wait: bool = True, **environ: str
) -> Iterator[subprocess.Popen[str]]:
    """The dispatcher with the configuration that LB_CONFIG names; it is killed at the end.

    `wait` returns only once it listens, which is the first thing that it says.
    """
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(path), **environ},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        if wait:
            lines = log_until_listening(process)
            assert len(lines) == 1, lines
        yield process
    finally:
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()


def log_until_listening(process: subprocess.Popen[str]) -> list[str]:
    """The lines of a dispatcher's log up to the one that says that it listens."""
    assert process.stderr is not None
    lines: list[str] = []
    while not lines or "listens on" not in lines[-1]:
        lines.append(process.stderr.readline())
        assert lines[-1], f"it ended: {lines}"
    return lines


def ask(sock: socket.socket, data: bytes) -> tuple[int, bytes]:
    sock.sendall(data)
    got = b""
    while b"\r\n\r\n" not in got:
        got += sock.recv(65536)
    head, _, body = got.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(65536)
    return int(head.split()[1]), body


def post(id_: str, body: bytes = b"abc") -> bytes:
    head = f"POST /echo/a HTTP/1.1\r\nX-Request-Id: {id_}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def endpoint_list(*ports: int, index: int = 1) -> dict[str, object]:
    endpoints = [
        {"name": f"w{n}" if n > 1 else "w", "address": f"127.0.0.1:{port}", "status": "SERVING"}
        for n, port in enumerate(ports, 1)
    ]
    return {"index": index, "snapshot": True, "endpoints": endpoints}


def program_config(port: int, discovery: str, grace: float = 30_000.0, **more: object) -> dict[str, object]:
    settings = {**CONFIG["settings"], "rules": {"drain_grace": grace}}
    return {**CONFIG, "listen": f"127.0.0.1:{port}", "discovery": discovery, "settings": settings, **more}
