"""One process of a dispatcher hands over to the next: two joined in memory, and two real processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from struct import Struct
from typing import ClassVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.handover import LISTEN, Loop, Pair, Side, Wire
from support.memory_dispatcher import Client, InMemoryDispatcher
from support.policy import learn
from support.processes import CONFIG, ROOT, DiscoveryServer, HoldingWorker, ask, post

from eiderfield.idmap import IdMap
from eiderfield.interface import EndpointState, decode_peer_report, encode_peer_report
from eiderfield.lab.ports import free_port
from eiderfield.model.learned_state import KeyCount
from eiderfield.net.clients.acceptor import ACCEPTED_PER_TURN
from eiderfield.net.handover.new_process import ANSWER_TIMEOUT_MS, DELAYED_ANSWER_TIMEOUT_MS
from eiderfield.net.link_socket import LinkListener, connect_link

ENVELOPE = Struct("<BIH")  # of messages between dispatchers
PATIENT = {**CONFIG["settings"]["classes"][0], "give_up": 300_000}  # however long a process takes to start


@pytest.fixture
def pair():
    pair = Pair()
    yield pair
    pair.close()


def state(side, worker):
    return side.dispatcher.exchange.endpoints.states.get(side.dispatcher.ids.known(f"w{worker}"))


def test_the_new_process_takes_port_list_and_bans_and_the_old_one_accepts_no_more(pair):
    pair.old.dispatcher.table.ban("w2")
    pair.old.dispatcher.tell((3, "SERVING"), (3, "DELETED"))
    assert not pair.new.done
    assert not pair.new.dispatcher.listener.listening
    pair.go()
    assert pair.new.done
    assert pair.new.takes()
    assert not pair.old.takes()
    assert pair.old.handover.handed_over
    assert [state(pair.new, w) for w in (1, 2)] == [EndpointState.READY, EndpointState.DRAINING]
    assert pair.new.dispatcher.table.ban("w3"), "ids that were ever listed are remembered"
    assert pair.new.dispatcher.table.ban("w4") is False
    assert pair.new.dispatcher.table.listed_workers == pair.old.dispatcher.table.listed_workers


def test_the_new_process_accepts_only_once_the_old_one_has_stopped(pair):
    pair.wires[1].deliver()
    pair.wires[0].deliver()
    assert pair.new.dispatcher.listener.listening
    assert not pair.new.takes()
    assert not pair.new.done


def test_an_id_that_one_process_holds_is_not_taken_by_the_other(pair):
    first = pair.old.dispatcher.client(id_="before")
    pair.go()
    pair.old.dispatcher.client(id_="after")
    pair.new.dispatcher.client(id_="there")
    pair.go()
    for side, ids in ((pair.new, ["before", "after"]), (pair.old, ["there"])):
        for id_ in ids:
            client = Client(side.dispatcher)
            client.post(id_=id_)
            assert client.answers()[0][0] == 409
    first.pipe.break_off()
    pair.go()
    assert not pair.new.dispatcher.exchange.has_request("before")
    assert pair.new.dispatcher.exchange.has_request("after")


def test_an_id_that_goes_and_comes_at_once_is_held(pair):
    pair.go()
    client = pair.old.dispatcher.client(id_="r")
    client.pipe.break_off()
    pair.old.dispatcher.client(id_="r")
    pair.go()
    assert pair.new.dispatcher.exchange.has_request("r")


@pytest.mark.parametrize("who", ["old", "new"])
def test_a_ban_at_either_process_holds_at_both_and_so_does_its_end(pair, who):
    pair.go()
    side = getattr(pair, who)
    side.dispatcher.table.ban("w1")
    pair.go()
    assert state(pair.old, 1) == state(pair.new, 1) == EndpointState.DRAINING
    side.dispatcher.table.unban("w1")
    pair.go()
    assert state(pair.old, 1) == state(pair.new, 1) == EndpointState.READY
    assert not pair.old.dispatcher.table.bans.since
    assert not pair.new.dispatcher.table.bans.since


def test_legs_and_work_of_either_process_are_known_to_the_other(pair):
    pair.old.dispatcher.client(id_="before")
    pair.go()
    pair.new.dispatcher.client(id_="after")
    pair.go()
    for here, there in ((pair.old, pair.new), (pair.new, pair.old)):
        out = here.dispatcher.exchange.open_attempts_per_worker
        assert sum(out.values()) == 1
        workers = there.dispatcher.exchange.dispatcher.workers
        assert {w.entry.worker: w.sibling_attempts for w in workers.values() if w.sibling_attempts} == out
    old, new = pair.old.dispatcher.exchange, pair.new.dispatcher.exchange
    assert old.open_attempts_per_worker != new.open_attempts_per_worker, "fewest jobs of both goes first"
    [worker] = pair.new.dispatcher.exchange.open_attempts_per_worker
    [(_, work)] = pair.old.dispatcher.exchange.dispatcher.workers[worker].recent_sends
    assert work > 0.0


def test_what_the_module_learnt_goes_along(pair):
    module = pair.old.dispatcher.exchange.dispatcher
    module.pacers[0].mean_duration, module.pacers[0].rate = 77.0, 5.0
    learn(module, retry_tokens=0.25, key_counts=(KeyCount(7, 40), KeyCount(8, 2)))
    pair.go()
    heir = pair.new.dispatcher.exchange.dispatcher
    assert (heir.pacers[0].mean_duration, heir.pacers[0].rate) == (77.0, 5.0)
    assert heir.learned_state().retry_tokens == 0.25
    assert heir.learned_state().key_counts == ((7, 40), (8, 2))


def test_a_worker_known_to_fail_is_known_to_the_next_process(pair):
    """Each new process of sofia's upgrade day sent jobs that must never run twice to find it out anew."""
    old = pair.old.dispatcher.exchange.dispatcher
    [id_] = [w for w in old.workers if w == pair.old.dispatcher.ids.worker("w1")]
    old.workers[id_].error_score = 2.0
    old.workers[id_].eject(0.0, failing=True)
    pair.go()
    heir = pair.new.dispatcher.exchange.dispatcher.workers[id_]
    assert (heir.error_score, heir.ejections, heir.failing) == (2.0, 1, True)


def test_connections_are_counted_and_shared_out_together(pair):
    kept = [Client(pair.old.dispatcher) for _ in range(5)]
    pair.go()
    assert pair.new.dispatcher.listener.held_by_other_process == len(kept)
    pair.new.dispatcher.listener.max_connections = len(kept)
    assert not pair.new.dispatcher.listener.make_room()
    assert (
        pair.old.dispatcher.side.connection_limit
        == pair.new.dispatcher.side.connection_limit
        == pair.old.dispatcher.side.configured_limit // 2
    )


@pytest.mark.parametrize("when", ["after the question", "after the state", "when all is given"])
def test_the_old_process_serves_on_if_the_new_one_dies(pair, when):
    heard = []
    pair.old.handover.on_successor_lost = lambda: heard.append(True)
    if when == "after the state":
        pair.wires[1].deliver()
    elif when == "when all is given":
        pair.go()
        pair.new.dispatcher.client(id_="r")
        pair.go()
    pair.part(1)
    old = pair.old.dispatcher
    assert pair.old.takes()
    assert not pair.old.handover.handed_over
    assert not old.exchange.has_request("r")
    assert old.side.connection_limit == old.side.configured_limit
    assert old.listener.held_by_other_process == 0
    assert bool(heard) == (when == "when all is given")
    old.settle()
    assert not any(worker.sibling_attempts for worker in old.exchange.dispatcher.workers.values())


def test_the_new_process_is_alone_once_the_old_one_has_ended(pair):
    pair.old.dispatcher.client(id_="r")
    pair.go()
    pair.part(0)
    new = pair.new.dispatcher
    assert pair.new.takes()
    assert not new.exchange.has_request("r")
    assert new.listener.held_by_other_process == 0
    assert new.side.connection_limit == new.side.configured_limit


@pytest.mark.parametrize("cut", [0, 20, -1])
def test_a_client_goes_along_with_what_of_its_next_message_was_read(cut):
    """Closed on instead, its job would be lost at the listener."""
    old, new = InMemoryDispatcher(), InMemoryDispatcher()
    client = Client(old)
    here, there = socket.socketpair()
    with here, there:
        client.connection._sock = here
        client.connection.proven = True
        message = post("r1")
        client.send(message[:cut])
        if cut == -1:
            assert client.connection.detach() is None, "its head is whole: this process takes the job"
            return
        detached = client.connection.detach()
        with socket.socket(fileno=detached.descriptor) as copy:
            assert not client.pipe.open
            assert not old.listener.connections
            assert detached.state.buffered == message[:cut]
            there.sendall(b"x")
            assert copy.recv(1) == b"x", "the connection itself is open"
        heir = Client(new, handover=detached.state)
        heir.send(message[cut:])
        assert heir.connection.proven, "it is one message"
        assert heir.answers()[0][0] == 404, "it is one message"


def test_what_owes_an_answer_is_not_given_away():
    dispatcher = InMemoryDispatcher()
    client = dispatcher.client()
    assert client.connection.detach() is None
    assert client.pipe.open


def test_a_process_that_says_nothing_is_not_waited_for(pair):
    pair.new.dispatcher.advance(ANSWER_TIMEOUT_MS + 8.0)
    assert pair.new.done
    assert not pair.wires[1].open


def test_a_process_that_comes_while_another_hands_over_waits_for_its_end(pair):
    """Sent away, it would start beside the others without ids, bans or clients."""
    pair.go()
    third, other = Side(workers=0), Wire()
    here, there = Wire(), Wire()
    here.peer, there.peer = there, here
    third.handover.take_over(there, third.settle)
    pair.new.handover.accept(here)
    pair.new.handover.accept(other)
    assert not other.open, "one may wait"
    there.deliver()
    here.deliver()
    third.dispatcher.advance(ANSWER_TIMEOUT_MS + 8.0)
    assert here.open
    assert not third.done
    pair.part(0)
    for wire in (here, there, here):
        wire.deliver()
    assert third.done
    assert third.takes()
    assert not pair.new.takes()
    assert pair.new.handover.handed_over
    third.dispatcher.listener.acceptor.listening_socket.close()


def test_a_process_that_waits_waits_no_longer_than_its_patience(pair):
    pair.wires[1].receive({"is": "wait"}, [])
    pair.new.dispatcher.advance(DELAYED_ANSWER_TIMEOUT_MS + 8.0)
    assert pair.new.done


def test_connections_pass_on_a_few_at_a_time():
    """All at once, each would hold a descriptor in both processes, more than the two may have."""
    dispatcher = InMemoryDispatcher(most=64)
    clients = [Client(dispatcher) for _ in range(ACCEPTED_PER_TURN + 5)]
    dispatcher.listener.successor = lambda let_go: let_go.__self__.abort() is None
    dispatcher.listener.hand_over_some()
    assert sum(client.pipe.open for client in clients) == 5
    dispatcher.listener.hand_over_some()
    assert not dispatcher.listener.connections


WORDS = st.sampled_from(["ask", "state", "taken", "yours", "news", "ban", "client", "wait", "none"])
VALUES = st.recursive(st.none() | st.integers(-9, 9) | st.text(max_size=3), lambda v: st.lists(v, max_size=2))
KEYS = ["form", "doors", "table", "bans", "ids", "legs", "memory", "open", "worker", "since", "door", "begun"]


@given(WORDS, st.dictionaries(st.sampled_from(KEYS), VALUES, max_size=12))
@settings(derandomize=True, max_examples=300, deadline=None, database=None)
def test_a_peer_that_speaks_in_riddles_ends_nothing(word, told):
    pair = Pair().go()
    for side, wire in zip((pair.old, pair.new), pair.wires, strict=True):
        wire.receive({**told, "is": word}, [])
        assert side.dispatcher.listener.listening
    pair.old.dispatcher.settle()
    pair.close()


class FirstForm:
    """A process of the first revision that handed over: what it said, written out. It knows no peers, no
    parked connections and no failing workers, and passes over what it does not know of a message."""

    ASK: ClassVar = {"is": "ask", "form": 1}
    TAKEN: ClassVar = {"is": "taken", "doors": [LISTEN]}
    STATE: ClassVar = {
        "is": "state",
        "doors": [LISTEN],
        "ids": ["held"],
        "legs": [["w1", 2]],
        "table": {
            "index": 7,
            "snapshot": True,
            "cold": [],
            "endpoints": [
                {
                    "name": "w1",
                    "address": "127.0.0.1:9",
                    "status": "SERVING",
                    "zone": "here",
                    "type": "std",
                    "group": 0,
                    "weight": 1.0,
                    "since_ms": 0.0,
                }
            ],
        },
        "bans": {"banned": {"w2": 5.0}},
        "memory": {
            "pacers": [[120.0, None, 0.0, 0.0]],
            "spent": [5.0, 0.1, 1.0],
            "cold": [],
            "keys": [[9, 3]],
            "slots": [[0, 4.0]],
        },
    }
    YOURS: ClassVar = {"is": "yours", "open": {LISTEN: 3}}


def test_a_new_process_takes_over_from_one_of_the_first_form():
    new = Side(workers=0)
    wire, here = Wire(), Wire()
    wire.peer = here
    new.handover.take_over(wire, new.settle)
    [(asked, _)] = wire.sent
    assert {**asked, **FirstForm.ASK} == asked, "what the first form asks for is said as it was"
    with socket.create_server(("127.0.0.1", 0)) as listener:
        classes = len(new.dispatcher.exchange.settings.classes)
        memory = {**FirstForm.STATE["memory"], "pacers": FirstForm.STATE["memory"]["pacers"] * classes}
        wire.receive({**FirstForm.STATE, "memory": memory}, [os.dup(listener.fileno())])
        new.dispatcher.settle()
        assert wire.sent[1][0]["is"] == "taken"
        assert wire.sent[1][0]["doors"] == [LISTEN]
        wire.receive(FirstForm.YOURS, [])
    assert new.done
    assert new.takes()
    assert wire.open
    assert [line for line in new.dispatcher.logged if line.startswith("handover:")] == []
    assert new.dispatcher.listener.held_by_other_process == 3
    assert new.dispatcher.exchange.has_request("held")
    assert state(new, 1) == EndpointState.READY
    assert new.dispatcher.table.bans.since == {"w2": 5.0}
    new.dispatcher.listener.acceptor.listening_socket.close()


def test_an_old_process_hands_over_to_one_of_the_first_form():
    old = Side()
    old.dispatcher.listener.adopt(old.loop, socket.create_server(("127.0.0.1", 0)))
    wire, there = Wire(), Wire()
    wire.peer = there
    old.handover.accept(wire)
    wire.receive(FirstForm.ASK, [])
    [(told, fds)] = wire.sent
    assert told.keys() >= FirstForm.STATE.keys()
    assert told["memory"].keys() >= FirstForm.STATE["memory"].keys()
    assert len(fds) == 1, "a socket that it does not know of would leak in it"
    os.close(fds[0])
    wire.receive(FirstForm.TAKEN, [])
    assert old.handover.handed_over
    assert not old.takes()
    old.dispatcher.client(id_="a")
    old.dispatcher.settle()
    old.dispatcher.advance(8.0)
    assert {told["is"] for told, _ in wire.sent} <= {"state", "yours", "news"}, "no words that it lacks"
    old.dispatcher.listener.acceptor.listening_socket.close()


def test_a_socket_that_nobody_listens_at_is_no_process(tmp_path):
    deep = tmp_path / ("d" * 120)  # longer than a Unix address holds
    deep.mkdir()
    assert connect_link(Loop(), deep / "s") is None
    ear = LinkListener(Loop(), deep / "s", lambda _link: None)
    ear.open()
    link = connect_link(Loop(), deep / "s")
    assert link is not None
    link.close()
    ear.close(unlink=False)
    assert (deep / "s").exists()
    assert connect_link(Loop(), deep / "s") is None
    again = LinkListener(Loop(), deep / "s", lambda _link: None)
    again.open()  # in the place of the dead one
    again.close(unlink=True)
    assert not list(deep.iterdir())


def call(port, path, method="GET"):
    with socket.create_connection(("127.0.0.1", port), 30) as sock:
        return ask(sock, f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())


class Releases:
    """Versions of a program that start beside each other, as the platform starts them."""

    def __init__(self, folder, discovery):
        self.folder, self.discovery, self.port = folder, discovery, free_port()
        self.running, self.more = [], {}

    def start(self):
        return self.up(*self.launch())

    def launch(self):
        console = free_port()
        told = {
            **CONFIG,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery}",
            "console": f"127.0.0.1:{console}",
            "settings": {"classes": [PATIENT]},
            **self.more,
        }
        path = self.folder / f"config-{console}.json"
        path.write_text(json.dumps(told))
        environ = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(self.folder)}
        process = subprocess.Popen(
            [sys.executable, "-m", "eiderfield"], cwd=ROOT, env=environ, stderr=subprocess.PIPE, text=True
        )
        self.running.append(process)
        return process, console

    def up(self, process, console):
        while "listens on" not in (line := process.stderr.readline()):
            assert line, "it ended"
        threading.Thread(target=process.stderr.read, daemon=True).start()
        return process, console

    def end(self):
        for process in self.running:
            process.kill()
            process.wait()


@pytest.fixture
def releases(tmp_path):
    worker = HoldingWorker()
    source = DiscoveryServer(worker.port)
    releases = Releases(tmp_path, source.port)
    releases.worker, releases.source = worker, source
    yield releases
    releases.end()


def test_an_upgrade_loses_no_job_and_no_ban(releases):
    old, console = releases.start()
    releases.source.asked.get(timeout=30)
    kept, half, busy = [socket.create_connection(("127.0.0.1", releases.port), 30) for _ in range(3)]
    releases.worker.let.set()
    for sock in (kept, half):  # a connection that has brought a job may idle
        assert ask(sock, post("r0"))[0] == 200
    releases.worker.let.clear()
    releases.worker.came.clear()
    busy.sendall(post("r1"))
    assert releases.worker.came.wait(30)
    assert call(console, "/-/workers/w/disable", "POST")[0] == 200

    new, later = releases.start()
    assert call(later, "/-/ready")[0] == 200
    assert json.loads(call(later, "/-/metrics")[1])["hosts_down"] == 1
    assert call(later, "/-/workers/w/enable", "POST")[0] == 200
    half.sendall(post("r2")[:20])
    old.send_signal(signal.SIGTERM)
    releases.worker.let.set()
    assert ask(busy, b"") == (200, b"cba"), "what the old process has taken it answers"
    assert old.wait(30) == 0
    for sock, data in ((half, post("r2")[20:]), (kept, post("r3")), (busy, post("r4"))):
        assert ask(sock, data) == (200, b"cba"), "its connection went on to the new process"
    assert json.loads(call(later, "/-/metrics")[1])["success"] == {"echo": 3}
    with socket.create_connection(("127.0.0.1", releases.port), 30) as sock:
        assert ask(sock, post("r5")) == (200, b"cba")
    for sock in (kept, busy, half):
        sock.close()
    new.send_signal(signal.SIGTERM)
    assert new.wait(30) == 0
    assert not list(releases.folder.glob("*.sock*"))


def test_in_an_upgrade_peers_are_heard_and_told_by_one_process_without_a_gap(releases):
    peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peer.bind(("127.0.0.1", 0))
    peer.settimeout(30)
    ours, theirs = f"127.0.0.1:{free_port()}", f"127.0.0.1:{peer.getsockname()[1]}"
    policy = {"may_tell": True, "retry_after": True}
    releases.more = {
        "settings": {"classes": [PATIENT], "balancers": 2, "me": 0, "policy_limits": policy},
        "peer_listen": ours,
        "peers": [ours, theirs],
    }
    host, port = ours.split(":")
    numbers = iter(range(1, 1000))

    def say():
        message = ENVELOPE.pack(1, 7, next(numbers)) + encode_peer_report([(releases.number, 1)])
        peer.sendto(message, (host, int(port)))

    def heard(console, most):
        while (figures := json.loads(call(console, "/-/metrics")[1])["peers"]).get("heard", 0) < most:
            pass
        return figures["heard"]

    releases.number = IdMap().worker("w")
    old, console = releases.start()
    releases.source.asked.get(timeout=30)
    say()
    heard(console, 1)
    busy = socket.create_connection(("127.0.0.1", releases.port), 30)
    busy.sendall(post("r1"))
    assert releases.worker.came.wait(30)
    first = ENVELOPE.unpack_from(message := peer.recv(300))
    assert list(decode_peer_report(message[ENVELOPE.size :])) == [(releases.number, 1)], (
        "its job at the worker"
    )
    _, later = releases.start()
    for _ in range(5):
        say()
    assert heard(later, 5) == 5, "all of them by the next process"
    assert heard(console, 1) == 1, "all of them by the next process"
    old.send_signal(signal.SIGTERM)
    releases.worker.let.set()
    assert ask(busy, b"") == (200, b"cba")
    assert old.wait(30) == 0
    while list(decode_peer_report((message := peer.recv(300))[ENVELOPE.size :])) != [(releases.number, 0)]:
        pass  # told by the next process, whose life is later, though the job was the old one's
    assert ENVELOPE.unpack_from(message)[1] > first[1]
    say()
    heard(later, 6)
    busy.close()
    peer.close()


def test_upgrades_that_follow_each_other_closely_lose_no_job(releases):
    first, _ = releases.start()
    releases.source.asked.get(timeout=30)
    busy = socket.create_connection(("127.0.0.1", releases.port), 30)
    busy.sendall(post("r1"))
    assert releases.worker.came.wait(30)
    second, later = releases.start()
    assert call(later, "/-/ready")[0] == 200
    first.send_signal(signal.SIGTERM)  # it stays for its job
    third = releases.launch()
    releases.worker.let.set()
    assert ask(busy, b"") == (200, b"cba")
    assert first.wait(30) == 0
    _, last = releases.up(*third)
    assert call(last, "/-/ready")[0] == 200
    second.send_signal(signal.SIGTERM)
    assert ask(busy, post("r2")) == (200, b"cba")
    assert second.wait(30) == 0
    assert ask(busy, post("r3")) == (200, b"cba")
    assert json.loads(call(last, "/-/metrics")[1])["success"]["echo"] >= 1
    busy.close()


def test_a_process_that_was_killed_blocks_no_start(releases):
    releases.worker.let.set()
    old, _ = releases.start()
    old.kill()
    old.wait()
    assert list(releases.folder.glob("*.sock"))
    _, console = releases.start()
    releases.source.asked.get(timeout=30)
    with socket.create_connection(("127.0.0.1", releases.port), 30) as sock:
        assert ask(sock, post("r1")) == (200, b"cba")
    assert call(console, "/-/ready")[0] == 200


def test_a_process_that_stands_still_blocks_no_start(releases):
    releases.worker.let.set()
    old, _ = releases.start()
    old.send_signal(signal.SIGSTOP)
    try:
        _, console = releases.start()
        assert call(console, "/-/ready")[0] in (200, 503)  # it is there, whatever it knows by now
    finally:
        old.send_signal(signal.SIGCONT)


def test_a_second_program_at_an_address_by_mistake_fails(releases, tmp_path):
    releases.start()
    other = tmp_path / "other"
    other.mkdir()
    releases.folder = other  # which shares no folder, so is no upgrade
    with pytest.raises(AssertionError, match="it ended"):
        releases.start()
