"""Upgrades with real processes: requests, bans and clients across one or more handovers."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from struct import Struct

import pytest
from support.processes import CONFIG, ROOT, DiscoveryServer, HoldingWorker, ask, post

from eiderfield.idmap import IdMap
from eiderfield.interface import decode_peer_report, encode_peer_report
from eiderfield.lab.ports import free_port

ENVELOPE = Struct("<BIH")  # version, incarnation, sequence number of a message between dispatchers
# A class whose requests do not expire while processes start.
LONG_WAIT_CLASS = {**CONFIG["settings"]["classes"][0], "give_up": 300_000}


def call(port, path, method="GET"):
    with socket.create_connection(("127.0.0.1", port), 30) as sock:
        return ask(sock, f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())


class Upgrades:
    """Processes of one dispatcher that are started one beside another, as the platform does for upgrades."""

    def __init__(self, folder, discovery):
        self.folder, self.discovery, self.port = folder, discovery, free_port()
        self.running, self.extra_config = [], {}

    def start(self):
        return self.wait_until_listening(*self.launch())

    def launch(self):
        console = free_port()
        config = {
            **CONFIG,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery}",
            "console": f"127.0.0.1:{console}",
            "settings": {"classes": [LONG_WAIT_CLASS]},
            **self.extra_config,
        }
        path = self.folder / f"config-{console}.json"
        path.write_text(json.dumps(config))
        environ = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(self.folder)}
        process = subprocess.Popen(
            [sys.executable, "-m", "eiderfield"], cwd=ROOT, env=environ, stderr=subprocess.PIPE, text=True
        )
        self.running.append(process)
        return process, console

    def wait_until_listening(self, process, console):
        while "listens on" not in (line := process.stderr.readline()):
            assert line, "process ended before it listened"
        threading.Thread(target=process.stderr.read, daemon=True).start()
        return process, console

    def end(self):
        for process in self.running:
            process.kill()
            process.wait()


@pytest.fixture
def upgrades(tmp_path):
    worker = HoldingWorker()
    source = DiscoveryServer(worker.port)
    upgrades = Upgrades(tmp_path, source.port)
    upgrades.worker, upgrades.source = worker, source
    yield upgrades
    upgrades.end()


def test_upgrade_loses_no_request_and_no_ban(upgrades):
    old, console = upgrades.start()
    upgrades.source.asked.get(timeout=30)
    idle, partly_sent, busy = [socket.create_connection(("127.0.0.1", upgrades.port), 30) for _ in range(3)]
    upgrades.worker.let.set()
    for sock in (idle, partly_sent):  # a connection may idle once it has sent a request
        assert ask(sock, post("r0"))[0] == 200
    upgrades.worker.let.clear()
    upgrades.worker.came.clear()
    busy.sendall(post("r1"))
    assert upgrades.worker.came.wait(30)
    assert call(console, "/-/workers/w/disable", "POST")[0] == 200

    new, new_console = upgrades.start()
    assert call(new_console, "/-/ready")[0] == 200
    assert json.loads(call(new_console, "/-/metrics")[1])["hosts_down"] == 1
    assert call(new_console, "/-/workers/w/enable", "POST")[0] == 200
    partly_sent.sendall(post("r2")[:20])
    old.send_signal(signal.SIGTERM)
    upgrades.worker.let.set()
    assert ask(busy, b"") == (200, b"cba"), "the old process did not answer the request that it had accepted"
    assert old.wait(30) == 0
    for sock, data in ((partly_sent, post("r2")[20:]), (idle, post("r3")), (busy, post("r4"))):
        assert ask(sock, data) == (200, b"cba"), "the connection was not passed to the new process"
    assert json.loads(call(new_console, "/-/metrics")[1])["success"] == {"echo": 3}
    with socket.create_connection(("127.0.0.1", upgrades.port), 30) as sock:
        assert ask(sock, post("r5")) == (200, b"cba")
    for sock in (idle, busy, partly_sent):
        sock.close()
    new.send_signal(signal.SIGTERM)
    assert new.wait(30) == 0
    assert not list(upgrades.folder.glob("*.sock*"))


def test_upgrade_leaves_exactly_one_process_exchanging_messages_with_peers(upgrades):
    peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peer.bind(("127.0.0.1", 0))
    peer.settimeout(30)
    own_address, peer_address = f"127.0.0.1:{free_port()}", f"127.0.0.1:{peer.getsockname()[1]}"
    policy = {"may_tell": True, "retry_after": True}
    upgrades.extra_config = {
        "settings": {"classes": [LONG_WAIT_CLASS], "balancers": 2, "me": 0, "policy_limits": policy},
        "peer_listen": own_address,
        "peers": [own_address, peer_address],
    }
    host, port = own_address.split(":")
    numbers = iter(range(1, 1000))

    def send_report():
        message = ENVELOPE.pack(1, 7, next(numbers)) + encode_peer_report([(upgrades.number, 1)])
        peer.sendto(message, (host, int(port)))

    def wait_for_accepted(console, expected_count):
        while (figures := json.loads(call(console, "/-/metrics")[1])["peers"]).get(
            "heard", 0
        ) < expected_count:
            pass
        return figures["heard"]

    upgrades.number = IdMap().worker("w")
    old, console = upgrades.start()
    upgrades.source.asked.get(timeout=30)
    send_report()
    wait_for_accepted(console, 1)
    busy = socket.create_connection(("127.0.0.1", upgrades.port), 30)
    busy.sendall(post("r1"))
    assert upgrades.worker.came.wait(30)
    first = ENVELOPE.unpack_from(message := peer.recv(300))
    assert list(decode_peer_report(message[ENVELOPE.size :])) == [(upgrades.number, 1)], (
        "no report of the open attempt at the worker"
    )
    _, new_console = upgrades.start()
    for _ in range(5):
        send_report()
    assert wait_for_accepted(new_console, 5) == 5, "the new process did not receive every message"
    assert wait_for_accepted(console, 1) == 1, "the old process received messages after the handover"
    old.send_signal(signal.SIGTERM)
    upgrades.worker.let.set()
    assert ask(busy, b"") == (200, b"cba")
    assert old.wait(30) == 0
    while list(decode_peer_report((message := peer.recv(300))[ENVELOPE.size :])) != [(upgrades.number, 0)]:
        pass  # the new process sends the report in a later incarnation, although the old one made the attempt
    assert ENVELOPE.unpack_from(message)[1] > first[1]
    send_report()
    wait_for_accepted(new_console, 6)
    busy.close()
    peer.close()


def test_upgrades_in_close_succession_lose_no_request(upgrades):
    first, _ = upgrades.start()
    upgrades.source.asked.get(timeout=30)
    busy = socket.create_connection(("127.0.0.1", upgrades.port), 30)
    busy.sendall(post("r1"))
    assert upgrades.worker.came.wait(30)
    second, new_console = upgrades.start()
    assert call(new_console, "/-/ready")[0] == 200
    first.send_signal(signal.SIGTERM)  # the process runs on until its request is answered
    third = upgrades.launch()
    upgrades.worker.let.set()
    assert ask(busy, b"") == (200, b"cba")
    assert first.wait(30) == 0
    _, last_console = upgrades.wait_until_listening(*third)
    assert call(last_console, "/-/ready")[0] == 200
    second.send_signal(signal.SIGTERM)
    assert ask(busy, post("r2")) == (200, b"cba")
    assert second.wait(30) == 0
    assert ask(busy, post("r3")) == (200, b"cba")
    assert json.loads(call(last_console, "/-/metrics")[1])["success"]["echo"] >= 1
    busy.close()


def test_start_after_killed_process_succeeds(upgrades):
    upgrades.worker.let.set()
    old, _ = upgrades.start()
    old.kill()
    old.wait()
    assert list(upgrades.folder.glob("*.sock"))
    _, console = upgrades.start()
    upgrades.source.asked.get(timeout=30)
    with socket.create_connection(("127.0.0.1", upgrades.port), 30) as sock:
        assert ask(sock, post("r1")) == (200, b"cba")
    assert call(console, "/-/ready")[0] == 200


def test_start_beside_stopped_process_succeeds(upgrades):
    upgrades.worker.let.set()
    old, _ = upgrades.start()
    old.send_signal(signal.SIGSTOP)
    try:
        _, console = upgrades.start()
        assert call(console, "/-/ready")[0] in (200, 503)  # it serves the console, ready or not
    finally:
        old.send_signal(signal.SIGCONT)


def test_second_program_at_same_address_without_shared_folder_fails(upgrades, tmp_path):
    upgrades.start()
    other = tmp_path / "other"
    other.mkdir()
    upgrades.folder = other  # without a shared folder there is no handover
    with pytest.raises(AssertionError, match="process ended before it listened"):
        upgrades.start()
