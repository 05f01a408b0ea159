"""Tests on a system that refuses optional calls (ENOSYS): each is logged once; the dispatcher serves."""

import json
import signal
import socket
import sys

import pytest
from support.processes import JOB, AnsweringWorker, ask, log_until_listening, running_program

from eiderfield.lab.ports import free_port

# Replaces a system call filter: refuses Unix sockets, and epoll sets other than that of the event loop.
FILTER = """
import errno, os, select, socket, sys, types
refused = set(sys.argv.pop(1).split(","))
no = OSError(errno.ENOSYS, os.strerror(errno.ENOSYS))
real = socket.socket
class Filtered(real):
    def __init__(self, family=-1, *rest, **more):
        if family == socket.AF_UNIX and not rest[2:] and "fileno" not in more and "unix" in refused:
            raise no
        super().__init__(family, *rest, **more)
def epoll(*_):
    raise no
socket.socket = Filtered
import eiderfield.connections.idle_connections as idle_connections
if "epoll" in refused:
    idle_connections.select = types.SimpleNamespace(**{**vars(select), "epoll": epoll})
from eiderfield.__main__ import main
sys.exit(main())
"""


@pytest.mark.parametrize("refused_calls", ["unix", "epoll", "unix,epoll"])
def test_refused_call_is_logged_once_and_the_dispatcher_serves(refused_calls, tmp_path):
    """Guards against failing at the start because of a call that only upgrades or parking need."""
    worker, port = AnsweringWorker(), free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "connections": {"park_after_ms": 10},
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {"name": "w1", "address": f"127.0.0.1:{worker.port}", "status": "SERVING", "since_ms": 0}
            ],
        },
        "settings": {
            "classes": [
                {"name": "echo", "value": 1, "goal_time": 300, "give_up": 5000, "idempotency": "retryable"}
            ]
        },
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    command = [sys.executable, "-c", FILTER, refused_calls]
    with running_program(tmp_path / "config.json", command, wait=False) as process:
        lines = log_until_listening(process)
        refusal_lines = [line for line in lines if "Function not implemented" in line]
        assert len(refusal_lines) == refused_calls.count(",") + 1, lines
        assert ("cannot listen for the next process" in "".join(refusal_lines)) == ("unix" in refused_calls)
        assert ("not parked" in "".join(refusal_lines)) == ("epoll" in refused_calls)
        with socket.create_connection(("127.0.0.1", port)) as sock:
            assert ask(sock, JOB) == (200, b"cba")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
