"""The table of ids that must not begin twice, and the file that holds it."""

import pytest
from support.memory_dispatcher import Client, InMemoryDispatcher

from eiderfield.exchange.begun_ids import MAX_IDS, TABLE_BYTES, BegunIds
from eiderfield.net.begun_ids_file import open_begun_ids


@pytest.fixture
def path(tmp_path):
    return tmp_path / "ids"


def fail_on_log(line):
    pytest.fail(line)


def test_id_is_known_until_it_is_removed():
    ids = BegunIds()
    assert "a" not in ids
    ids.add("a")
    ids.add("a")
    assert "a" in ids
    assert "b" not in ids
    ids.remove("a")
    assert "a" not in ids
    ids.add("a")
    assert "a" in ids


def test_the_last_ids_are_kept_and_the_table_does_not_grow():
    ids = BegunIds()
    for number in range(3 * MAX_IDS):
        ids.add(str(number))
    assert all(str(number) in ids for number in range(2 * MAX_IDS, 3 * MAX_IDS))
    assert "0" not in ids


def test_ids_outlive_their_process_in_the_file(path):
    open_begun_ids(path, fail_on_log).add("a")
    assert path.stat().st_size == TABLE_BYTES
    assert "a" in open_begun_ids(path, fail_on_log)


def test_processes_share_the_table(path):
    first, second = open_begun_ids(path, fail_on_log), open_begun_ids(path, fail_on_log)
    first.add("a")
    assert "a" in second
    second.remove("a")
    assert "a" not in first


@pytest.mark.parametrize("content", [b"x" * 100, b"\xff" * TABLE_BYTES])
def test_file_of_another_form_is_cleared(path, content):
    path.write_bytes(content)
    ids = open_begun_ids(path, fail_on_log)
    assert "a" not in ids
    ids.add("a")
    assert "a" in ids


def test_damaged_table_does_not_loop(path):
    open_begun_ids(path, fail_on_log)
    content = bytearray(path.read_bytes())
    content[8:] = b"\x55" * (TABLE_BYTES - 8)
    path.write_bytes(content)
    ids = open_begun_ids(path, fail_on_log)
    ids.add("a")
    ids.add("b")
    assert "c" not in ids


def test_unusable_file_is_logged_and_ids_are_kept_in_memory(tmp_path):
    lines = []
    (tmp_path / "link").symlink_to(tmp_path / "target")
    ids = open_begun_ids(tmp_path / "link", lines.append)
    assert len(lines) == 1
    ids.add("a")
    assert "a" in ids


def test_request_that_no_worker_has_run_may_come_again_with_its_id():
    dispatcher = InMemoryDispatcher(workers=1)
    first = dispatcher.client(path="/unsafe/a")
    end = dispatcher.dials[0].up()
    for _ in range(200):
        if end.take():
            end.status(503, X_Not_Run="1")
        dispatcher.advance(100.0)
    assert first.answers()[0][0] in (502, 503)
    again = Client(dispatcher)
    again.post(path="/unsafe/a")
    assert not [status for status, *_ in again.answers() if status == 409]


# Regression: an id whose client had left was forgotten, and began a second time.
def test_request_that_a_worker_may_have_run_is_rejected_with_its_id():
    dispatcher = InMemoryDispatcher(workers=1)
    first = dispatcher.client(path="/unsafe/a")
    dispatcher.dials[0].up().take()
    first.pipe.break_off()
    dispatcher.settle()
    again = Client(dispatcher)
    again.post(path="/unsafe/a")
    assert again.answers()[0][0] == 409
    assert not dispatcher.dials
