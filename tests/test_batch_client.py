"""The batch client's operations and their deprecated names, without a connection."""

import warnings

import pytest

from eiderfield.batch.client import JOB_IDS_SESSION_ALL, JobInfo, Session
from eiderfield.batch.drmaa import ControlAction, DrmCommunicationError, JobState
from eiderfield.batch.messages import JobTemplate

END = {
    "jobId": "n0-1.1",
    "state": "failed",
    "verdict": "declined",
    "mayHaveRun": False,
    "legs": 2,
    "retryAfterMs": 1500,
}


class ScriptedSession(Session):
    """A session whose dispatcher gives one answer to everything."""

    def __init__(self, answer):
        super().__init__("127.0.0.1", 1)
        self.answer = answer
        self.requests = []

    def _request_once(self, method, path, message, _wait):
        self.requests.append((method, path, message))
        return self.answer


def test_messages_keep_their_keys():
    template = JobTemplate("echo", subject="s", body="b", deadline=800.0, idempotency_key="k")
    session = ScriptedSession({"jobIds": ["a", "b"]})
    assert session.run_bulk_jobs([template, JobTemplate("echo")]) == ["a", "b"]
    whole = {"jobClass": "echo", "subject": "s", "body": "b", "deadlineMs": 800.0, "idempotencyKey": "k"}
    assert session.requests == [("POST", "/v1/bulk-jobs", {"jobs": [whole, {"jobClass": "echo"}]})]
    assert JobTemplate.from_json(whole) == template


def test_an_end_is_read_into_a_job_info():
    info = ScriptedSession(END).wait("n0-1.1")
    assert info == JobInfo(
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
def test_the_old_fields_of_a_job_info_are_deprecated(old, new):
    info = JobInfo.from_json(END)
    with pytest.warns(DeprecationWarning, match=f"JobInfo.{old} is deprecated, use JobInfo.{new}") as caught:
        assert getattr(info, old) == getattr(info, new)
    assert caught[0].filename == __file__


@pytest.mark.parametrize(
    ("old", "new", "argument", "answer"),
    [
        ("runJob", "run_job", JobTemplate("echo"), {"jobId": "a"}),
        ("runBulkJobs", "run_bulk_jobs", [JobTemplate("echo")], {"jobIds": ["a"]}),
        ("jobStatus", "job_status", "a", {"state": "running"}),
    ],
)
def test_the_old_methods_of_a_session_are_deprecated(old, new, argument, answer):
    old_session, new_session = ScriptedSession(answer), ScriptedSession(answer)
    with pytest.warns(DeprecationWarning, match=f"Session.{old} is deprecated, use Session.{new}") as caught:
        old_result = getattr(old_session, old)(argument)
    assert caught[0].filename == __file__
    assert old_result == getattr(new_session, new)(argument)
    assert old_session.requests == new_session.requests != []


def test_the_old_arguments_of_a_session_are_deprecated():
    calls = [
        lambda session: session.job_status(jobId="a"),
        lambda session: session.wait(jobId="a"),
        lambda session: session.control(jobId="a", action=ControlAction.TERMINATE),
        lambda session: session.info(jobId="a"),
        lambda session: session.synchronize(jobIds=["a"]),
    ]
    for call in calls:
        session = ScriptedSession(END)
        with pytest.warns(DeprecationWarning, match="the argument jobIds? is deprecated") as caught:
            call(session)
        assert caught[0].filename == __file__
        [(_, path, _)] = session.requests
        assert path.startswith("/v1/jobs/a")


def test_the_new_names_warn_of_nothing():
    session = ScriptedSession({**END, "jobIds": ["a"]})
    with warnings.catch_warnings():
        warnings.simplefilter("error")
        session.run_job(JobTemplate("echo"))
        session.run_bulk_jobs([JobTemplate("echo")])
        assert session.job_status("a") == JobState.FAILED
        assert session.info(job_id="a").attempts == 2
        assert session.control("a", ControlAction.TERMINATE) == JobState.FAILED
        assert len(session.synchronize(JOB_IDS_SESSION_ALL, dispose=True)) == 2
        assert session.synchronize(JOB_IDS_SESSION_ALL) == []


def test_an_unknown_state_is_an_error_of_communication():
    with pytest.raises(DrmCommunicationError, match="no such state: 'lost'"):
        ScriptedSession({"state": "lost"}).job_status("a")
