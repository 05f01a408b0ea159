"""The batch front: the registry of jobs over HTTP and JSON.

    POST /v1/jobs                      one job template -> {"jobId": ...}
    POST /v1/bulk-jobs                 {"jobs": [template, ...]} -> {"jobIds": [...]}, all or none
    GET  /v1/jobs/ID                   the job's status
    GET  /v1/jobs/ID/wait?timeoutMs=N  the same, once the job is final
    POST /v1/jobs/ID/control           {"action": "terminate"} -> the job's status

A template holds jobClass and, if wanted, subject, body, deadlineMs and idempotencyKey. A job of a class that
the durable store keeps gets its id once it is stored, and is known at every dispatcher.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from eiderfield.batch.drmaa import DrmaaError, ExitTimeoutError, TryLaterError
from eiderfield.batch.durable import DurableJobLookup
from eiderfield.batch.job import BatchJob, when_accepted
from eiderfield.batch.messages import JobTemplate, ToUnix, bulk_from_json, parse_object
from eiderfield.batch.parameters import require_terminate, wait_of
from eiderfield.batch.registry import JobRegistry
from eiderfield.batch.remote import RemoteWait, send_found
from eiderfield.batch.replies import CREATED, send_error, send_json, send_status
from eiderfield.batch.submission import RETRY_AFTER_MS
from eiderfield.net.clients import ListenerStatus, Responder
from eiderfield.net.http import Head

CANCEL_TIMEOUT = 5000.0  # ms for which the end of another dispatcher's job is waited for

Abandon = Callable[[], None]  # what a listener calls when the client that waits has gone


class BatchFront:
    """What the batch listener does with messages."""

    def __init__(
        self, registry: JobRegistry, lookup: DurableJobLookup | None = None, to_unix: ToUnix = float
    ) -> None:
        """`lookup` finds jobs that are not known here, where a durable store has them."""
        self._to_unix = to_unix
        self._registry = registry
        self._lookup = lookup

    def handle_message(
        self, listener: ListenerStatus, connection: Responder, head: Head, body: bytes
    ) -> Abandon | None:
        """Answers everything at once but a wait, which it answers when the job is final."""
        try:
            connection.proven = True  # a batch client's errors are answers like others: it may stay
            return self._route(listener, connection, head, body)
        except DrmaaError as error:
            send_error(connection, error)
            return None

    def _route(
        self, listener: ListenerStatus, connection: Responder, head: Head, body: bytes
    ) -> Abandon | None:
        path, _, query = head.target.partition("?")
        match head.method, path.split("/")[1:]:
            case "POST", ["v1", "jobs"]:
                self._run_job(listener, connection, body)
            case "POST", ["v1", "bulk-jobs"]:
                self._run_bulk_jobs(listener, connection, body)
            case method, ["v1", "jobs", job_id, *rest]:
                if self._is_remote(job_id, rest):
                    return self._route_remote(listener, connection, method, job_id, rest, query, body)
                return self._route_job(listener, connection, method, job_id, rest, query, body)
            case _, ["v1", "jobs" | "bulk-jobs", *_]:
                send_not_allowed(connection)
            case _:
                connection.answer(404, b"no such path\n")
        return None

    def _run_job(self, listener: ListenerStatus, connection: Responder, body: bytes) -> None:
        require_open(listener)
        job = self._registry.submission.run_job(JobTemplate.from_json(parse_object(body)))
        self._send_once_accepted(connection, [job], {"jobId": job.job_id})

    def _run_bulk_jobs(self, listener: ListenerStatus, connection: Responder, body: bytes) -> None:
        require_open(listener)
        jobs = self._registry.submission.run_bulk_jobs(bulk_from_json(parse_object(body)))
        self._send_once_accepted(connection, jobs, {"jobIds": [job.job_id for job in jobs]})

    def _send_once_accepted(
        self, connection: Responder, jobs: Sequence[BatchJob], message: dict[str, object]
    ) -> None:
        when_accepted(jobs, partial(send_accepted, connection, message))

    def _route_job(
        self,
        listener: ListenerStatus,
        connection: Responder,
        method: str,
        job_id: str,
        rest: Sequence[str],
        query: str,
        body: bytes,
    ) -> Abandon | None:
        """A request about a job of this dispatcher."""
        match method, rest:
            case "GET", []:
                self._send_status(connection, job_id)
            case "GET", ["wait"]:
                return self._wait(listener, connection, job_id, query)
            case "POST", ["control"]:
                require_terminate(parse_object(body).get("action"))
                self._registry.terminate(job_id)
                self._send_status(connection, job_id)
            case _:
                send_not_allowed(connection)
        return None

    def _is_remote(self, job_id: str, rest: Sequence[str]) -> bool:
        """Whether the durable store answers.

        It does for a job that is not known here, and for the status or the end of a durable one that runs.
        """
        if self._lookup is None:
            return False
        asks_store = not rest or list(rest) == ["control"]
        if asks_store and self._registry.is_durable_and_unfinished(job_id):
            return True
        return job_id not in self._registry.table

    def _route_remote(
        self,
        listener: ListenerStatus,
        connection: Responder,
        method: str,
        job_id: str,
        rest: Sequence[str],
        query: str,
        body: bytes,
    ) -> Abandon | None:
        """A request about a job that the durable store has to be asked about."""
        assert self._lookup is not None
        match method, rest:
            case "GET", []:
                self._lookup.find(
                    job_id, partial(send_found, connection, self._lookup, job_id, self._to_unix)
                )
                return lambda: None  # the answer comes later, and nothing can be called off before
            case "GET", ["wait"]:
                until = listener.clock() + wait_of(query)
                wait = RemoteWait(self._lookup, connection, job_id, until, self._to_unix)
                wait.begin()
                return wait.abandon
            case "POST", ["control"]:
                require_terminate(parse_object(body).get("action"))
                until = listener.clock() + CANCEL_TIMEOUT
                wait = RemoteWait(self._lookup, connection, job_id, until, self._to_unix)
                wait.cancel_job()
                return wait.abandon
            case _:
                send_not_allowed(connection)
                return None

    def _wait(
        self, listener: ListenerStatus, connection: Responder, job_id: str, query: str
    ) -> Abandon | None:
        timeout = wait_of(query)
        if self._registry.job_status(job_id).state.final:
            self._send_status(connection, job_id)
            return None
        return LocalWait(self._registry, listener, connection, job_id, timeout, self._to_unix).abandon

    def _send_status(self, connection: Responder, job_id: str) -> None:
        send_status(connection, self._registry.job_status(job_id), self._to_unix)


class LocalWait:
    """A client's request that waits for the end of a job of this dispatcher. It is answered once."""

    def __init__(
        self,
        registry: JobRegistry,
        listener: ListenerStatus,
        connection: Responder,
        job_id: str,
        timeout: float,
        to_unix: ToUnix,
    ) -> None:
        """Begins to wait, for so many ms at the most, for a job that has no final answer yet."""
        self._registry = registry
        self._connection = connection
        self._job_id = job_id
        self._to_unix = to_unix
        self._over = False
        self._timer = listener.timers.at(listener.clock() + timeout, self._time_out)
        self._job = registry.wait(job_id, self._send_end)

    def abandon(self) -> None:
        """Stops waiting: the client has gone, or its time is over."""
        self._over = True
        self._timer.cancel()
        if self._send_end in self._job.end_callbacks:
            self._job.end_callbacks.remove(self._send_end)

    def _send_end(self) -> None:
        if self._over:
            return
        self._over = True
        self._timer.cancel()
        send_status(self._connection, self._registry.status_of(self._job), self._to_unix)

    def _time_out(self) -> None:
        if self._over:
            return
        self.abandon()
        send_error(self._connection, ExitTimeoutError(f"job {self._job_id} is not final yet"))


def require_open(listener: ListenerStatus) -> None:
    """Raises `TryLaterError` where the listener is draining."""
    if listener.draining:
        raise TryLaterError("this dispatcher is about to end", RETRY_AFTER_MS)


def send_accepted(connection: Responder, message: dict[str, object], accepted: bool) -> None:
    """Answers a submission."""
    if accepted:
        send_json(connection, CREATED, message)
    else:
        send_error(connection, TryLaterError("the jobs cannot be written down now", RETRY_AFTER_MS))


def send_not_allowed(connection: Responder) -> None:
    """Answers a request whose method its path does not have."""
    connection.answer(405, b"not a method of this path\n")
