"""Tests of the adapter as a subprocess, through its standard streams."""

import struct
import subprocess
import sys
from pathlib import Path

import pytest
from support.wire_messages import GOOD, TABLE

from eiderfield.wire import ActionCode

ROOT = Path(__file__).parent.parent
ENDPOINT_LIST = struct.pack("<BHBQI", 1, 0, 1, 1, 0)


def frame(now, *records):
    body = b"".join(records)
    return struct.pack("<IId", len(records), 16 + len(body), now) + body


def create_dispatcher(node, text=GOOD, seed=1):
    data = text.encode()
    return struct.pack("<BHQI", 0, node, seed, len(data)) + data


def endpoint_list(node):
    return struct.pack("<BHBQI", 1, node, 1, 1, 0)


def receive_request(node, id_, cls=0, due=5000.0):
    return struct.pack("<BHQBHQddffB", 2, node, id_, cls, 0, 0, due, 0.0, 1.0, 0.0, 0)


def run_adapter(data):
    process = subprocess.run(
        [sys.executable, "-m", "eiderfield.adapter"], input=data, capture_output=True, cwd=ROOT, timeout=30
    )
    replies, at = [], 0
    while at < len(process.stdout):
        count, size = struct.unpack_from("<II", process.stdout, at)
        replies.append((count, process.stdout[at + 8 : at + size]))
        at += size
    return process, replies


@pytest.mark.parametrize(
    ("data", "expected"), [(b"", []), (frame(0.0), [(0, b"")])], ids=["nothing", "an empty batch"]
)
def test_adapter_at_end_of_input_exits_with_status_zero(data, expected):
    process, replies = run_adapter(data)
    assert (process.returncode, process.stderr) == (0, b"")
    assert replies == expected


def first_attempt(reply):
    """Return the node and the request id of a reply that begins with the start of an attempt."""
    code, node, request_id = struct.unpack_from("<BHQ", reply[1])
    assert code == ActionCode.START_ATTEMPT
    return node, request_id


@pytest.fixture(scope="module")
def restarted_node():
    return run_adapter(
        frame(0.0, create_dispatcher(0), bytes.fromhex(TABLE), endpoint_list(0))
        + frame(5.0, receive_request(0, 1))
        + frame(6.0, struct.pack("<BH", 9, 0), create_dispatcher(0), endpoint_list(0))
        + frame(7.0, receive_request(0, 2))
    )


def test_adapter_with_restarted_dispatcher_exits_without_error(restarted_node):
    process, _ = restarted_node
    assert (process.returncode, process.stderr) == (0, b"")


@pytest.mark.parametrize(("batch", "request_id"), [(1, 1), (3, 2)], ids=["before", "after"])
def test_restarted_dispatcher_sends_requests_before_and_after(restarted_node, batch, request_id):
    _, replies = restarted_node
    assert first_attempt(replies[batch]) == (0, request_id)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"abc", "cut short"),
        (struct.pack("<IId", 0, 3, 0.0), "length 3"),
        (struct.pack("<IId", 1, 40, 0.0) + b"12", "cut short"),
        (frame(0.0, b"\x2a\x00\x00"), "unknown event code 42"),
        (frame(0.0, create_dispatcher(0), ENDPOINT_LIST), "table 0 was never sent"),
    ],
)
def test_malformed_input_exits_with_one_error_line(data, message):
    process, _ = run_adapter(data)
    text = process.stderr.decode()
    assert process.returncode != 0
    assert message in text
    assert text.count("\n") == 1
    assert "Traceback" not in text


@pytest.fixture(scope="module")
def failing_nodes():
    """Run node 0 with invalid settings, node 2 with a request of an unknown class, and a healthy node 1."""
    wrong = GOOD.replace("classes.0.value=1.0\n", "")
    return run_adapter(
        frame(
            0.0,
            create_dispatcher(0, wrong),
            create_dispatcher(1),
            bytes.fromhex(TABLE),
            endpoint_list(1),
            create_dispatcher(2),
        )
        + frame(5.0, receive_request(1, 1), receive_request(2, 9, cls=77))
    )


def test_failed_dispatcher_does_not_end_the_process(failing_nodes):
    process, _ = failing_nodes
    assert process.returncode == 0


def test_invalid_settings_are_reported_as_fatal_with_their_key(failing_nodes):
    (_, body), _ = failing_nodes[1]
    assert body[0] == ActionCode.FATAL
    assert b"classes.0.value" in body


def test_policy_exception_is_reported_as_fatal_with_type_and_message(failing_nodes):
    _, (_, body) = failing_nodes[1]
    assert b"ValueError" in body
    assert b"unknown class 77" in body


def test_policy_exception_is_logged_with_traceback(failing_nodes):
    process, _ = failing_nodes
    assert b"adapter: dispatcher failed (node=2)\nTraceback" in process.stderr


def test_healthy_dispatcher_continues_beside_failed_ones(failing_nodes):
    _, reply = failing_nodes[1]
    assert first_attempt(reply) == (1, 1)


def replies_to_requests(nodes):
    """Return the replies to forty requests for each node."""
    data = frame(
        0.0,
        *(create_dispatcher(n, seed=n) for n in nodes),
        bytes.fromhex(TABLE),
        *(endpoint_list(n) for n in nodes),
    )
    for step in range(40):
        data += frame(5.0 + step, *(receive_request(n, 100 * n + step, step % 2) for n in nodes))
    return run_adapter(data)[1]


def test_dispatchers_in_one_process_reply_as_in_separate_processes():
    separate = [replies_to_requests([node]) for node in range(3)]
    joined = [
        (sum(count for count, _ in replies), b"".join(body for _, body in replies))
        for replies in zip(*separate, strict=True)
    ]
    assert replies_to_requests(range(3)) == joined
