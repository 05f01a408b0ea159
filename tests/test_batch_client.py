"""The batch client's operations and their deprecated names, over a scripted connection."""

import json
import socket
import warnings

import pytest

from eiderfield.batch.client import JOB_IDS_SESSION_ALL, JobInfo, Session
from eiderfield.batch.drmaa import ControlAction, DrmCommunicationError, JobState
from eiderfield.batch.messages import JobTemplate
from eiderfield.net.http import END, Parser, response_bytes

HOST = "127.0.0.1"
FINAL_STATUS = {
    "jobId": "n0-1.1",
    "state": "failed",
    "verdict": "declined",
    "mayHaveRun": False,
    "legs": 2,
    "retryAfterMs": 1500,
}


class ScriptedConnection:
    """A session's socket whose dispatcher gives one response to every message, and records them all."""

    def __init__(self, response):
        self.messages = []  # method, path and JSON value of each
        self._response = response_bytes(200, json.dumps(response).encode())
        self._unread = b""

    def settimeout(self, seconds):
        assert seconds > 0.0

    def sendall(self, data):
        parser, body = Parser(), b""
        parser.feed(data)
        head = parser.poll()
        while (part := parser.poll()) is not END:
            body += part
        self.messages.append((head.method, head.target, json.loads(body) if body else None))
        self._unread += self._response

    def recv(self, size):
        data, self._unread = self._unread[:size], self._unread[size:]
        return data


@pytest.fixture
def connect(monkeypatch):
    """Return a function that makes a session and its scripted connection."""
    connections = {}
    monkeypatch.setattr(socket, "create_connection", lambda address, _timeout: connections[address])

    def make_session(response):
        address = (HOST, 1 + len(connections))
        connections[address] = ScriptedConnection(response)
        return Session(*address), connections[address]

    return make_session


def test_bulk_submission_sends_each_template_under_the_protocols_keys(connect):
    template = JobTemplate("echo", subject="s", body="b", deadline=800.0, idempotency_key="k")
    session, connection = connect({"jobIds": ["a", "b"]})
    assert session.run_bulk_jobs([template, JobTemplate("echo")]) == ["a", "b"]
    whole = {"jobClass": "echo", "subject": "s", "body": "b", "deadlineMs": 800.0, "idempotencyKey": "k"}
    assert connection.messages == [("POST", "/v1/bulk-jobs", {"jobs": [whole, {"jobClass": "echo"}]})]
    assert JobTemplate.from_json(whole) == template


def test_wait_for_a_finished_job_returns_its_end(connect):
    session, _ = connect(FINAL_STATUS)
    assert session.wait("n0-1.1") == JobInfo(
        job_id="n0-1.1",
        has_exited=False,
        was_aborted=True,
        exit_status=1,
        result="",
        verdict="declined",
        may_have_run=False,
        attempts=2,
        retry_after=1.5,
    )


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("jobId", "job_id"),
        ("hasExited", "has_exited"),
        ("wasAborted", "was_aborted"),
        ("exitStatus", "exit_status"),
        ("mayHaveRun", "may_have_run"),
        ("retryAfter", "retry_after"),
        ("legs", "attempts"),
    ],
)
def test_job_info_read_by_an_old_field_name_warns_and_returns_the_new_field(old, new):
    info = JobInfo.from_json(FINAL_STATUS)
    with pytest.warns(DeprecationWarning, match=f"JobInfo.{old} is deprecated, use JobInfo.{new}") as caught:
        assert getattr(info, old) == getattr(info, new)
    assert caught[0].filename == __file__


@pytest.mark.parametrize(
    ("old", "new", "argument", "response"),
    [
        ("runJob", "run_job", JobTemplate("echo"), {"jobId": "a"}),
        ("runBulkJobs", "run_bulk_jobs", [JobTemplate("echo")], {"jobIds": ["a"]}),
        ("jobStatus", "job_status", "a", {"state": "running"}),
    ],
)
def test_session_called_by_an_old_method_name_warns_and_sends_the_same(connect, old, new, argument, response):
    old_session, old_connection = connect(response)
    new_session, new_connection = connect(response)
    with pytest.warns(DeprecationWarning, match=f"Session.{old} is deprecated, use Session.{new}") as caught:
        old_result = getattr(old_session, old)(argument)
    assert caught[0].filename == __file__
    assert old_result == getattr(new_session, new)(argument)
    assert old_connection.messages == new_connection.messages != []


@pytest.mark.parametrize(
    "call",
    [
        pytest.param(lambda session: session.job_status(jobId="a"), id="job_status"),
        pytest.param(lambda session: session.wait(jobId="a"), id="wait"),
        pytest.param(
            lambda session: session.control(jobId="a", action=ControlAction.TERMINATE), id="control"
        ),
        pytest.param(lambda session: session.info(jobId="a"), id="info"),
        pytest.param(lambda session: session.synchronize(jobIds=["a"]), id="synchronize"),
    ],
)
def test_session_called_with_an_old_argument_name_warns_and_asks_about_the_job(connect, call):
    session, connection = connect(FINAL_STATUS)
    with pytest.warns(DeprecationWarning, match="the argument jobIds? is deprecated") as caught:
        call(session)
    assert caught[0].filename == __file__
    [(_, path, _)] = connection.messages
    assert path.startswith("/v1/jobs/a")


def test_session_called_by_new_names_does_not_warn(connect):
    session, _ = connect({**FINAL_STATUS, "jobIds": ["a"]})
    with warnings.catch_warnings():
        warnings.simplefilter("error")
        session.run_job(JobTemplate("echo"))
        session.run_bulk_jobs([JobTemplate("echo")])
        assert session.job_status("a") == JobState.FAILED
        assert session.info(job_id="a").attempts == 2
        assert session.control("a", ControlAction.TERMINATE) == JobState.FAILED
        assert len(session.synchronize(JOB_IDS_SESSION_ALL, dispose=True)) == 2
        assert session.synchronize(JOB_IDS_SESSION_ALL) == []


def test_response_with_an_unknown_state_raises_a_communication_error(connect):
    session, _ = connect({"state": "lost"})
    with pytest.raises(DrmCommunicationError, match="no such state: 'lost'"):
        session.job_status("a")
