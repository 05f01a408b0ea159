"""A client of the batch front, with the operations of DRMAA's session.

A `Session` has one connection, opened when first needed. It never repeats a submission whose response is
lost: the dispatcher may have accepted it.

DRMAA's own camelCase names (`runJob`, `jobId`, ...) are deprecated aliases of the names here.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

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

MAX_WAIT_S = 60.0  # of one message that waits for a job's end
RESPONSE_TIMEOUT_S = 10.0  # to connect, and for a response beyond the wait that it asks for
CLOCK_SLACK_S = 0.001  # by which a wait may end before its time
READ_SIZE = 65536
FIRST_ERROR_STATUS = 300
MS_PER_SECOND = 1000.0


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
    """The end of a job. `retry_after` is in seconds, None unless the job was rejected."""

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
        """Return the end of a job from its final status."""
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
            retry_after=None if retry_after_ms is None else float(retry_after_ms) / MS_PER_SECOND,
        )


class Response(NamedTuple):
    """A dispatcher's response, with its body read as JSON."""

    head: Head
    content: object


@deprecated_aliases(runJob="run_job", runBulkJobs="run_bulk_jobs", jobStatus="job_status")
class Session:
    """A DRMAA session with one dispatcher, or with several that share a durable store. Times are in seconds.

    If a dispatcher cannot be reached, messages go to the next one; a submission does so only if it was not
    sent. Each method raises the `DrmaaError` that a dispatcher responds with, and `DrmCommunicationError` if
    none can be reached.
    """

    def __init__(self, host: str, port: int, others: Iterable[tuple[str, int]] = ()) -> None:
        """Create a session, without a connection yet; `others` are the addresses of further dispatchers."""
        self._address = (host, port)
        self._others = list(others)
        self._socket: socket.socket | None = None
        self._job_ids: dict[str, None] = {}  # of this session, in the order of their submission

    def __enter__(self) -> Session:
        """Return the session, which the end of the `with` block closes."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the session."""
        self.exit()

    def exit(self) -> None:
        """Close the connection. The jobs of the session continue."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def run_job(self, template: JobTemplate) -> str:
        """Submit a job; return its id."""
        message = self._request("POST", "/v1/jobs", template.to_json())
        return self._remember([str(message.get("jobId"))])[0]

    def run_bulk_jobs(self, templates: Iterable[JobTemplate]) -> list[str]:
        """Submit all of some jobs or, if one is refused, none of them; return their ids."""
        message = self._request("POST", "/v1/bulk-jobs", bulk_to_json(list(templates)))
        return self._remember([str(job_id) for job_id in message.get("jobIds", [])])

    @deprecated_keywords(jobId="job_id")
    def job_status(self, job_id: str) -> JobState:
        """Return the state of a job."""
        return _state_of(self._request("GET", f"/v1/jobs/{job_id}"))

    @deprecated_keywords(jobId="job_id")
    def wait(self, job_id: str, timeout: float = TIMEOUT_WAIT_FOREVER) -> JobInfo:
        """Wait for a job's end and return it; raise `ExitTimeoutError` after `timeout`."""
        end = time.monotonic() + timeout
        while True:
            remaining = MAX_WAIT_S
            if timeout >= 0:
                remaining = min(MAX_WAIT_S, max(0.0, end - time.monotonic()))
            path = f"/v1/jobs/{job_id}/wait?timeoutMs={int(remaining * MS_PER_SECOND)}"
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
        """Wait for the ends of several jobs, or of all of this session, and return them.

        `dispose` removes the jobs from the session. Raises `ExitTimeoutError` after `timeout`.
        """
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
        """Apply an action to a job; return its state after that."""
        return _state_of(self._request("POST", f"/v1/jobs/{job_id}/control", {"action": action.value}))

    @deprecated_keywords(jobId="job_id")
    def info(self, job_id: str) -> JobInfo | None:
        """Return the end of a job, None if it is not finished."""
        message = self._request("GET", f"/v1/jobs/{job_id}")
        return JobInfo.from_json(message) if _state_of(message).final else None

    def _remember(self, job_ids: list[str]) -> list[str]:
        self._job_ids.update(dict.fromkeys(job_ids))
        return job_ids

    def _request(
        self, method: str, path: str, message: object = None, wait: float = 0.0
    ) -> Mapping[str, Any]:
        """Return the JSON object with which the first reachable dispatcher responds."""
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
        head, content = self._send_and_receive(method, path, message, wait)
        if not isinstance(content, dict):
            raise DrmCommunicationError("the answer is not an object")
        if head.status >= FIRST_ERROR_STATUS:
            error_class = ERRORS_BY_NAME.get(str(content.get("error")), DrmaaError)
            retry_after = _parse_seconds(head.get("retry-after")) * MS_PER_SECOND
            raise error_class(str(content.get("message")), retry_after)
        return content

    def _send_and_receive(self, method: str, path: str, message: object, wait: float) -> Response:
        """Send a message and read the response, on a new connection if there is none."""
        body = b"" if message is None else json.dumps(message).encode()
        sent = False
        try:
            if self._socket is None:
                self._socket = socket.create_connection(self._address, RESPONSE_TIMEOUT_S)
            sent = True
            self._socket.settimeout(wait + RESPONSE_TIMEOUT_S)
            self._socket.sendall(request_bytes(method, path, "{}:{}".format(*self._address), body))
            response = _read_response(self._socket)
            if not response.head.keep_alive:
                self.exit()
        except (OSError, ValueError, RecursionError) as error:
            self.exit()
            raise DrmCommunicationError(f"{type(error).__name__}: {error}", sent=sent) from error
        return response


def _read_response(sock: socket.socket) -> Response:
    parser, head, body = Parser(responses=True, max_body=0), Head(), bytearray()
    while True:
        part = parser.poll()
        if part is None:
            data = sock.recv(READ_SIZE)
            if not data:
                raise MalformedMessageError("the connection ended within an answer")
            parser.feed(data)
        elif part is END:
            return Response(head, json.loads(body))
        elif isinstance(part, Head):
            head = part
        elif isinstance(part, bytes):
            body += part


def _parse_seconds(text: str) -> float:
    try:
        return float(text or 0.0)
    except ValueError:
        return 0.0


def _state_of(message: Mapping[str, Any]) -> JobState:
    try:
        return JobState(message.get("state"))
    except ValueError:
        raise DrmCommunicationError(f"no such state: {message.get('state')!r}") from None
