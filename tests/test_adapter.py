"""The adapter as a subprocess on its standard streams."""

import struct
import subprocess
import sys
from pathlib import Path

import pytest
from support.wire_messages import GOOD, TABLE

from eiderfield.wire import ActionCode

ROOT = Path(__file__).parent.parent
LIST = struct.pack("<BHBQI", 1, 0, 1, 1, 0)


def frame(now, *records):
    body = b"".join(records)
    return struct.pack("<IId", len(records), 16 + len(body), now) + body


def create(node, text=GOOD, seed=1):
    data = text.encode()
    return struct.pack("<BHQI", 0, node, seed, len(data)) + data


def listed(node):
    return struct.pack("<BHBQI", 1, node, 1, 1, 0)


def query(node, id_, cls=0, due=5000.0):
    return struct.pack("<BHQBHQddffB", 2, node, id_, cls, 0, 0, due, 0.0, 1.0, 0.0, 0)


def run(data):
    done = subprocess.run(
        [sys.executable, "-m", "eiderfield.adapter"], input=data, capture_output=True, cwd=ROOT, timeout=30
    )
    replies, at = [], 0
    while at < len(done.stdout):
        count, size = struct.unpack_from("<II", done.stdout, at)
        replies.append((count, done.stdout[at + 8 : at + size]))
        at += size
    return done, replies


@pytest.mark.parametrize(
    ("data", "expected"), [(b"", []), (frame(0.0), [(0, b"")])], ids=["nothing", "an empty batch"]
)
def test_the_end_of_input_ends_the_process(data, expected):
    done, replies = run(data)
    assert (done.returncode, done.stderr) == (0, b"")
    assert replies == expected


def first_attempt(reply):
    """Return the node and the request of a reply that starts with an attempt."""
    code, node, request_id = struct.unpack_from("<BHQ", reply[1])
    assert code == ActionCode.START_ATTEMPT
    return node, request_id


@pytest.fixture(scope="module")
def killed_and_created_again():
    return run(
        frame(0.0, create(0), bytes.fromhex(TABLE), listed(0))
        + frame(5.0, query(0, 1))
        + frame(6.0, struct.pack("<BH", 9, 0), create(0), listed(0))
        + frame(7.0, query(0, 2))
    )


def test_a_node_that_is_killed_and_created_again_ends_without_an_error(killed_and_created_again):
    done, _ = killed_and_created_again
    assert (done.returncode, done.stderr) == (0, b"")


@pytest.mark.parametrize(("batch", "request_id"), [(1, 1), (3, 2)], ids=["before", "after"])
def test_a_request_is_sent_before_and_after_its_node_was_killed(killed_and_created_again, batch, request_id):
    _, replies = killed_and_created_again
    assert first_attempt(replies[batch]) == (0, request_id)


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"abc", "cut short"),
        (struct.pack("<IId", 0, 3, 0.0), "length 3"),
        (struct.pack("<IId", 1, 40, 0.0) + b"12", "cut short"),
        (frame(0.0, b"\x2a\x00\x00"), "unknown event code 42"),
        (frame(0.0, create(0), LIST), "table 0 was never sent"),
    ],
)
def test_malformed_input_ends_the_process_with_one_line(data, word):
    done, _ = run(data)
    text = done.stderr.decode()
    assert done.returncode != 0
    assert word in text
    assert text.count("\n") == 1
    assert "Traceback" not in text


@pytest.fixture(scope="module")
def two_nodes_fail():
    """Node 0 has wrong settings, node 2 gets a request of an unknown class, and node 1 is sound."""
    wrong = GOOD.replace("classes.0.value=1.0\n", "")
    return run(
        frame(0.0, create(0, wrong), create(1), bytes.fromhex(TABLE), listed(1), create(2))
        + frame(5.0, query(1, 1), query(2, 9, cls=77))
    )


def test_failures_of_nodes_do_not_end_the_process(two_nodes_fail):
    done, _ = two_nodes_fail
    assert done.returncode == 0


def test_wrong_settings_are_reported_as_fatal_by_their_key(two_nodes_fail):
    (_, body), _ = two_nodes_fail[1]
    assert body[0] == ActionCode.FATAL
    assert b"classes.0.value" in body


def test_a_fault_of_the_decisions_is_reported_as_fatal_by_type_and_text(two_nodes_fail):
    _, (_, body) = two_nodes_fail[1]
    assert b"ValueError" in body
    assert b"unknown class 77" in body


def test_a_fault_of_the_decisions_is_logged_with_its_traceback(two_nodes_fail):
    done, _ = two_nodes_fail
    assert b"adapter: dispatcher failed (node=2)\nTraceback" in done.stderr


def test_a_sound_node_goes_on_beside_failed_ones(two_nodes_fail):
    _, reply = two_nodes_fail[1]
    assert first_attempt(reply) == (1, 1)


def play(nodes):
    """Return the replies to forty requests of each node."""
    data = frame(0.0, *(create(n, seed=n) for n in nodes), bytes.fromhex(TABLE), *(listed(n) for n in nodes))
    for step in range(40):
        data += frame(5.0 + step, *(query(n, 100 * n + step, step % 2) for n in nodes))
    return run(data)[1]


def test_three_nodes_of_one_process_act_as_three_processes():
    alone = [play([node]) for node in range(3)]
    joined = [
        (sum(count for count, _ in replies), b"".join(body for _, body in replies))
        for replies in zip(*alone, strict=True)
    ]
    assert play(range(3)) == joined
