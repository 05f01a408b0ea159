"""The adapter as a subprocess on its standard streams."""

import struct
import subprocess
import sys
from pathlib import Path

import pytest
from support.wire_messages import GOOD, TABLE

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


def test_end_of_input_is_the_end():
    done, replies = run(frame(0.0))
    assert done.returncode == 0
    assert not done.stderr
    assert replies == [(0, b"")]
    assert run(b"")[0].returncode == 0


def test_a_request_is_sent_and_a_killed_node_starts_anew():
    table = bytes.fromhex(TABLE)
    done, replies = run(
        frame(0.0, create(0), table, listed(0))
        + frame(5.0, query(0, 1))
        + frame(6.0, struct.pack("<BH", 9, 0), create(0), listed(0))
        + frame(7.0, query(0, 2))
    )
    assert done.returncode == 0
    assert not done.stderr
    for index, id_ in ((1, 1), (3, 2)):
        code, node, sent, _, _ = struct.unpack_from("<BHQId", replies[index][1])
        assert (code, node, sent) == (6, 0, id_)


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
def test_malformed_input_ends_with_one_plain_line(data, word):
    done, _ = run(data)
    text = done.stderr.decode()
    assert done.returncode != 0
    assert word in text
    assert text.count("\n") == 1
    assert "Traceback" not in text


def test_wrong_settings_and_faults_are_fatal_for_their_node_only():
    table = bytes.fromhex(TABLE)
    bad = GOOD.replace("classes.0.value=1.0\n", "")
    done, replies = run(
        frame(0.0, create(0, bad), create(1), table, listed(1), create(2))
        + frame(5.0, query(1, 1), query(2, 9, cls=77))
    )
    assert done.returncode == 0
    assert b"classes.0.value" in replies[0][1]
    assert replies[0][1][0] == 9
    assert b"ValueError" in replies[1][1]
    assert b"unknown class 77" in replies[1][1]
    assert struct.unpack_from("<BHQ", replies[1][1]) == (6, 1, 1)


def test_one_process_acts_as_three():
    table = bytes.fromhex(TABLE)
    nodes = range(3)

    def play(chosen):
        data = frame(0.0, *(create(n, seed=n) for n in chosen), table, *(listed(n) for n in chosen))
        for step in range(40):
            data += frame(5.0 + step, *(query(n, 100 * n + step, step % 2) for n in chosen))
        return run(data)[1]

    together = play(nodes)
    apart = [play([n]) for n in nodes]
    for index, (count, body) in enumerate(together):
        assert count == sum(a[index][0] for a in apart)
        assert body == b"".join(a[index][1] for a in apart)
