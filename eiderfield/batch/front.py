"""The batch front: batch jobs over HTTP and JSON.

    POST /v1/jobs                      one job template -> {"jobId": ...}
    POST /v1/bulk-jobs                 {"jobs": [template, ...]} -> {"jobIds": [...]}, all or none
    GET  /v1/jobs/ID                   the job's status
    GET  /v1/jobs/ID/wait?timeoutMs=N  the same, once the job is final
    POST /v1/jobs/ID/control           {"action": "terminate"} -> the job's status

A template holds jobClass and, if wanted, subject, body, deadlineMs and idempotencyKey. A job of a durable
class gets its id once it is recorded, and is known at every dispatcher.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

from eiderfield.batch.bulk import BulkResult
from eiderfield.batch.drain import JobDrain
from eiderfield.batch.drmaa import RETRY_AFTER_MS, DrmaaError, TryLaterError
from eiderfield.batch.durable import DurableJobLookup
from eiderfield.batch.local_wait import LocalWait
from eiderfield.batch.messages import JobTemplate, ToUnix, bulk_from_json, parse_object
from eiderfield.batch.parameters import parse_wait_timeout, require_terminate
from eiderfield.batch.registry import JobRegistry
from eiderfield.batch.remote import RemoteWait, send_found
from eiderfield.batch.replies import (
    send_error,
    send_json,
    send_not_allowed,
    send_not_found,
    send_status,
)
from eiderfield.net.clients.front import ClientDisconnectCallback, ListenerStatus, Responder
from eiderfield.net.http import Head
from eiderfield.net.http import status as http_status

CANCEL_TIMEOUT_MS = 5000.0  # wait for the end of a job that another dispatcher terminates


class JobMessage(NamedTuple):
    """A client's message about one job, and where it arrived."""

    listener: ListenerStatus
    connection: Responder
    method: str
    job_id: str
    subpath: Sequence[str]  # parts of the path after the id
    query: str
    body: bytes


class BatchFront:
    """Handles the messages of the batch listener (implements `net.clients.front.Front`)."""

    def __init__(
        self, registry: JobRegistry, lookup: DurableJobLookup | None = None, to_unix: ToUnix = float
    ) -> None:
        """Serve the jobs of `registry`, and durable jobs of any dispatcher by `lookup`, if there is one."""
        self._to_unix = to_unix
        self._registry = registry
        self.drain = JobDrain(registry)
        self._lookup = lookup

    def handle_message(
        self, listener: ListenerStatus, connection: Responder, head: Head, body: bytes
    ) -> ClientDisconnectCallback | None:
        """Respond at once, or return what to call if the client leaves before the response."""
        self.drain.message_received(listener.clock())
        try:
            connection.proven = True  # a batch client's errors are answers like others: it may stay
            return self._route(listener, connection, head, body)
        except DrmaaError as error:
            send_error(connection, error)
            return None

    def _route(
        self, listener: ListenerStatus, connection: Responder, head: Head, body: bytes
    ) -> ClientDisconnectCallback | None:
        path, _, query = head.target.partition("?")
        match head.method, path.split("/")[1:]:
            case "POST", ["v1", "jobs"]:
                self._run_job(listener, connection, body)
            case "POST", ["v1", "bulk-jobs"]:
                self._run_bulk_jobs(listener, connection, body)
            case method, ["v1", "jobs", job_id, *subpath]:
                message = JobMessage(listener, connection, method, job_id, subpath, query, body)
                if self._is_remote(job_id, subpath):
                    return self._route_remote(message)
                return self._route_local(message)
            case _, ["v1", "jobs" | "bulk-jobs", *_]:
                send_not_allowed(connection)
            case _:
                send_not_found(connection)
        return None

    def _run_job(self, listener: ListenerStatus, connection: Responder, body: bytes) -> None:
        require_open(listener)
        template = JobTemplate.from_json(parse_object(body))
        self._registry.submission.run_bulk_jobs([template], partial(send_job_result, connection))

    def _run_bulk_jobs(self, listener: ListenerStatus, connection: Responder, body: bytes) -> None:
        require_open(listener)
        templates = bulk_from_json(parse_object(body))
        self._registry.submission.run_bulk_jobs(templates, partial(send_bulk_result, connection))

    def _route_local(self, message: JobMessage) -> ClientDisconnectCallback | None:
        """Handle a message about a job of this dispatcher."""
        match message.method, message.subpath:
            case "GET", []:
                self._send_status(message.connection, message.job_id)
            case "GET", ["wait"]:
                return self._wait(message)
            case "POST", ["control"]:
                require_terminate(parse_object(message.body).get("action"))
                self._registry.terminate(message.job_id)
                self._send_status(message.connection, message.job_id)
            case _:
                send_not_allowed(message.connection)
        return None

    def _is_remote(self, job_id: str, subpath: Sequence[str]) -> bool:
        """Return whether the durable store has to answer a message.

        It has to for a job that is not known here, and for the status or the termination of an unfinished
        durable job.
        """
        if self._lookup is None:
            return False
        asks_store = not subpath or list(subpath) == ["control"]
        if asks_store and self._registry.is_durable_and_unfinished(job_id):
            return True
        return job_id not in self._registry.table

    def _route_remote(self, message: JobMessage) -> ClientDisconnectCallback | None:
        """Handle a message about a job that the durable store has to be asked about."""
        assert self._lookup is not None
        match message.method, message.subpath:
            case "GET", []:
                send = partial(send_found, message.connection, self._lookup, message.job_id, self._to_unix)
                self._lookup.find(message.job_id, send)
                return lambda: None  # the look-up can't be stopped
            case "GET", ["wait"]:
                wait = self._remote_wait(self._lookup, message, parse_wait_timeout(message.query))
                wait.start()
                return wait.abandon
            case "POST", ["control"]:
                require_terminate(parse_object(message.body).get("action"))
                wait = self._remote_wait(self._lookup, message, CANCEL_TIMEOUT_MS)
                wait.cancel_job()
                return wait.abandon
            case _:
                send_not_allowed(message.connection)
                return None

    def _remote_wait(self, lookup: DurableJobLookup, message: JobMessage, timeout_ms: float) -> RemoteWait:
        until = message.listener.clock() + timeout_ms
        return RemoteWait(lookup, message.connection, message.job_id, until, self._to_unix)

    def _wait(self, message: JobMessage) -> ClientDisconnectCallback | None:
        timeout_ms = parse_wait_timeout(message.query)
        connection, job_id = message.connection, message.job_id
        if self._registry.job_status(job_id).state.final:
            self._send_status(connection, job_id)
            return None
        wait = LocalWait(self._registry, message.listener, connection, job_id, timeout_ms, self._to_unix)
        return wait.abandon

    def _send_status(self, connection: Responder, job_id: str) -> None:
        job = self._registry.table.find(job_id)
        if job.answer is not None and connection.client_connected:
            self._registry.table.mark_fetched(job)
        send_status(connection, self._registry.status_of(job), self._to_unix)


def require_open(listener: ListenerStatus) -> None:
    """Raise `TryLaterError` where the listener is draining."""
    if listener.draining:
        raise TryLaterError("this dispatcher is about to end", RETRY_AFTER_MS)


def send_job_result(connection: Responder, result: BulkResult) -> None:
    """Send the response to the submission of one job."""
    [job_id] = result.job_ids
    _send_result(connection, result, {"jobId": job_id})


def send_bulk_result(connection: Responder, result: BulkResult) -> None:
    """Send the response to the submission of several jobs."""
    _send_result(connection, result, {"jobIds": list(result.job_ids)})


def _send_result(connection: Responder, result: BulkResult, response: dict[str, object]) -> None:
    if result.is_accepted:
        send_json(connection, http_status.CREATED, response)
    elif result.may_have_run:
        send_error(connection, DrmaaError("the jobs could not be written down in time and may have run"))
    else:
        send_error(connection, TryLaterError("the jobs cannot be written down now", RETRY_AFTER_MS))
