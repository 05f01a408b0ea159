"""A client of the batch front, with the operations of DRMAA's session.

A `Session` holds one connection, opened when first needed. It never repeats a submission whose answer is
lost: the dispatcher may have accepted it.

DRMAA's own camelCase names (`runJob`, `jobId`, ...) are deprecated aliases of the names here.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from eiderfield.batch.deprecation import deprecated_aliases, deprecated_keywords
from eiderfield.batch.drmaa import (
    ERRORS_BY_NAME,
    ControlAction,
    DrmaaError,
    DrmCommunicationError,
    ExitTimeoutError,
    JobState,
)
from eiderfield.batch.messages import JobTemplate, bulk_to_json
from eiderfield.net.http import END, Head, MalformedMessageError, Parser, request_bytes

TIMEOUT_WAIT_FOREVER = -1.0
JOB_IDS_SESSION_ALL = "DRMAA_JOB_IDS_SESSION_ALL"

LONGEST_WAIT_S = 60.0  # of one request that waits for a job's end
ANSWER_TIMEOUT_S = 10.0  # for connecting, and for an answer beyond the wait that was asked for
CLOCK_SLACK_S = 0.001  # by which a wait may end before its time
READ_SIZE = 65536
FIRST_ERROR_STATUS = 300


@deprecated_aliases(
    jobId="job_id",
    hasExited="has_exited",
    wasAborted="was_aborted",
    exitStatus="exit_status",
    mayHaveRun="may_have_run",
    retryAfter="retry_after",
    legs="attempts",
)
@dataclass(frozen=True, slots=True)
class JobInfo:
    """How a job ended. `retry_after` is in seconds and set where the job was rejected."""

    job_id: str
    has_exited: bool
    was_aborted: bool
    exit_status: int
    result: str
    verdict: str
    may_have_run: bool
    attempts: int
    retry_after: float | None

    @classmethod
    def from_json(cls, message: Mapping[str, Any]) -> JobInfo:
        """The end that a final status tells of."""
        served = message.get("verdict") == "served"
        retry_after_ms = message.get("retryAfterMs")
        return cls(
            job_id=str(message.get("jobId")),
            has_exited=served,
            was_aborted=message.get("verdict") in ("declined", "terminated"),
            exit_status=0 if served else 1,
            result=str(message.get("result", "")),
            verdict=str(message.get("verdict")),
            may_have_run=bool(message.get("mayHaveRun")),
            attempts=int(message.get("legs", 0)),
            retry_after=None if retry_after_ms is None else float(retry_after_ms) / 1000.0,
        )


@deprecated_aliases(runJob="run_job", runBulkJobs="run_bulk_jobs", jobStatus="job_status")
class Session:
    """A DRMAA session with one dispatcher, or with several that share their jobs. All times are in seconds.

    Where a dispatcher cannot be reached, the next one is asked about jobs that were submitted; a submission
    goes to the next one only if it was not sent.
    """

    def __init__(self, host: str, port: int, others: Iterable[tuple[str, int]] = ()) -> None:
        """Opens no connection yet. `others` are the addresses of the further dispatchers."""
        self._address = (host, port)
        self._others = list(others)
        self._socket: socket.socket | None = None
        self._job_ids: dict[str, None] = {}  # of this session, in the order of their submission

    def __enter__(self) -> Session:
        """Begins the session, which its `with` block ends."""
        return self

    def __exit__(self, *_: object) -> None:
        """Closes the session."""
        self.exit()

    def exit(self) -> None:
        """Closes the session. Its jobs go on."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def run_job(self, template: JobTemplate) -> str:
        """Submits a job; returns its id."""
        message = self._request("POST", "/v1/jobs", template.to_json())
        return self._remember([str(message.get("jobId"))])[0]

    def run_bulk_jobs(self, templates: Iterable[JobTemplate]) -> list[str]:
        """Submits all of some jobs or none of them; returns their ids."""
        message = self._request("POST", "/v1/bulk-jobs", bulk_to_json(list(templates)))
        return self._remember([str(job_id) for job_id in message.get("jobIds", [])])

    @deprecated_keywords(jobId="job_id")
    def job_status(self, job_id: str) -> JobState:
        """Where a job stands."""
        return _state_of(self._request("GET", f"/v1/jobs/{job_id}"))

    @deprecated_keywords(jobId="job_id")
    def wait(self, job_id: str, timeout: float = TIMEOUT_WAIT_FOREVER) -> JobInfo:
        """Waits for a job's end. `ExitTimeoutError` if that does not come in time."""
        end = time.monotonic() + timeout
        while True:
            remaining = LONGEST_WAIT_S
            if timeout >= 0:
                remaining = min(LONGEST_WAIT_S, max(0.0, end - time.monotonic()))
            path = f"/v1/jobs/{job_id}/wait?timeoutMs={int(remaining * 1000)}"
            try:
                message = self._request("GET", path, wait=remaining)
            except ExitTimeoutError:
                if timeout >= 0 and time.monotonic() >= end - CLOCK_SLACK_S:
                    raise
                continue
            return JobInfo.from_json(message)

    @deprecated_keywords(jobIds="job_ids")
    def synchronize(
        self, job_ids: Iterable[str] | str, timeout: float = TIMEOUT_WAIT_FOREVER, dispose: bool = False
    ) -> list[JobInfo]:
        """Waits for the ends of several jobs, or of all of this session; `dispose` forgets them here."""
        wanted = list(self._job_ids) if job_ids == JOB_IDS_SESSION_ALL else list(job_ids)
        end = time.monotonic() + timeout
        infos = []
        for job_id in wanted:
            remaining = timeout if timeout < 0 else max(0.0, end - time.monotonic())
            infos.append(self.wait(job_id, remaining))
        if dispose:
            for job_id in wanted:
                self._job_ids.pop(job_id, None)
        return infos

    @deprecated_keywords(jobId="job_id")
    def control(self, job_id: str, action: ControlAction) -> JobState:
        """Applies an action to a job; returns the state that it is in then."""
        return _state_of(self._request("POST", f"/v1/jobs/{job_id}/control", {"action": action.value}))

    @deprecated_keywords(jobId="job_id")
    def info(self, job_id: str) -> JobInfo | None:
        """How a job ended, None if it has not."""
        message = self._request("GET", f"/v1/jobs/{job_id}")
        return JobInfo.from_json(message) if _state_of(message).final else None

    def _remember(self, job_ids: list[str]) -> list[str]:
        self._job_ids.update(dict.fromkeys(job_ids))
        return job_ids

    def _request(
        self, method: str, path: str, message: object = None, wait: float = 0.0
    ) -> Mapping[str, Any]:
        """The answer of the first dispatcher that can be reached."""
        for _ in self._others:
            try:
                return self._request_once(method, path, message, wait)
            except DrmCommunicationError as error:
                is_submission = path.endswith("jobs")
                if error.sent and is_submission:  # it may have been accepted
                    raise
                self._others.append(self._address)
                self._address = self._others.pop(0)
        return self._request_once(method, path, message, wait)

    def _request_once(self, method: str, path: str, message: object, wait: float) -> Mapping[str, Any]:
        head, body = self._exchange(method, path, message, wait)
        if not isinstance(body, dict):
            raise DrmCommunicationError("the answer is not an object")
        if head.status >= FIRST_ERROR_STATUS:
            error = ERRORS_BY_NAME.get(str(body.get("error")), DrmaaError)
            raise error(str(body.get("message")), _seconds(head.get("retry-after")) * 1000.0)
        return body

    def _exchange(self, method: str, path: str, message: object, wait: float) -> tuple[Head, object]:
        """Sends a request and reads its answer, on a new connection where there is none."""
        content = b"" if message is None else json.dumps(message).encode()
        sent = False
        try:
            if self._socket is None:
                self._socket = socket.create_connection(self._address, ANSWER_TIMEOUT_S)
            sent = True
            self._socket.settimeout(wait + ANSWER_TIMEOUT_S)
            self._socket.sendall(request_bytes(method, path, "{}:{}".format(*self._address), content))
            head, answer = _read_answer(self._socket)
            if not head.keep_alive:
                self.exit()
            body: object = json.loads(answer)
        except (OSError, ValueError, RecursionError) as error:
            self.exit()
            raise DrmCommunicationError(f"{type(error).__name__}: {error}", sent=sent) from error
        return head, body


def _read_answer(sock: socket.socket) -> tuple[Head, bytes]:
    parser, head, body = Parser(responses=True, max_body=0), Head(), bytearray()
    while True:
        part = parser.poll()
        if part is None:
            data = sock.recv(READ_SIZE)
            if not data:
                raise MalformedMessageError("the connection ended within an answer")
            parser.feed(data)
        elif part is END:
            return head, bytes(body)
        elif isinstance(part, Head):
            head = part
        elif isinstance(part, bytes):
            body += part


def _seconds(text: str) -> float:
    try:
        return float(text or 0.0)
    except ValueError:
        return 0.0


def _state_of(message: Mapping[str, Any]) -> JobState:
    try:
        return JobState(message.get("state"))
    except ValueError:
        raise DrmCommunicationError(f"no such state: {message.get('state')!r}") from None
