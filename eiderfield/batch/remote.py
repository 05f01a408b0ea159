"""Messages about durable jobs of any dispatcher, answered from the durable store."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from eiderfield.batch.drmaa import (
    RETRY_AFTER_MS,
    ExitTimeoutError,
    InvalidJobError,
    JobState,
    TryLaterError,
)
from eiderfield.batch.durable import DurableJob, DurableJobLookup
from eiderfield.batch.messages import SHOWN_CHARACTERS, JobEnd, JobStatus, ToUnix
from eiderfield.batch.replies import send_error, send_status
from eiderfield.exchange.request import Verdict
from eiderfield.net.clients.front import Responder


class RemoteWait:
    """A client's wait for the end of a durable job. Sends one response."""

    def __init__(
        self,
        lookup: DurableJobLookup,
        connection: Responder,
        job_id: str,
        until: float,
        to_unix: ToUnix,
    ) -> None:
        """Prepare to wait until `until`, in ms of the process's clock."""
        self._to_unix = to_unix
        self._lookup = lookup
        self._connection = connection
        self._job_id = job_id
        self._until = until
        self._stop_waiting: Callable[[], None] | None = None
        self._is_abandoned = False

    def start(self) -> None:
        """Send the job's status once it is final, or an error once the time is over."""
        self._lookup.find(self._job_id, self._wait_if_unfinished)

    def cancel_job(self) -> None:
        """Request the job's termination, and wait for its end."""
        self._lookup.find(self._job_id, self._cancel_if_unfinished)

    def abandon(self) -> None:
        """Stop waiting: the client has left."""
        self._is_abandoned = True
        if self._stop_waiting is not None:
            self._stop_waiting()

    def _wait_if_unfinished(self, job: DurableJob | None) -> None:
        if self._is_abandoned:  # the client may have left during the look-up
            return
        if job is None or job.verdict:
            self._send_found(job)
            return
        self._stop_waiting = self._lookup.wait(self._job_id, self._until, lambda _: self._look_up_end())

    def _cancel_if_unfinished(self, job: DurableJob | None) -> None:
        if job is None or job.verdict:
            self._send_found(job)
            return
        self._lookup.cancel(self._job_id, partial(self._wait_once_requested, job))

    def _wait_once_requested(self, job: DurableJob, recorded: bool) -> None:
        if recorded:
            self._wait_if_unfinished(job)
        else:
            error = TryLaterError("the wish for its end cannot be written down", RETRY_AFTER_MS)
            send_error(self._connection, error)

    def _send_found(self, job: DurableJob | None) -> None:
        send_found(self._connection, self._lookup, self._job_id, self._to_unix, job)

    def _look_up_end(self) -> None:
        """Look up whether the wait ended by the job's answer or by its time."""
        self._lookup.find(self._job_id, self._send_end)

    def _send_end(self, job: DurableJob | None) -> None:
        if job is not None and not job.verdict:
            error = ExitTimeoutError(f"job {self._job_id[:SHOWN_CHARACTERS]} is not final yet")
            send_error(self._connection, error)
        else:
            self._send_found(job)


def send_found(
    connection: Responder,
    lookup: DurableJobLookup,
    job_id: str,
    to_unix: ToUnix,
    job: DurableJob | None,
) -> None:
    """Send the status of a job that was looked up, an error if it is not known."""
    if job is None:
        error = InvalidJobError(f"job {job_id[:SHOWN_CHARACTERS]!r} is not known")
        send_error(connection, error)
    else:
        send_status(connection, status_of_durable(job, lookup.from_monotonic), to_unix)


def status_of_durable(job: DurableJob, from_monotonic: Callable[[float], float]) -> JobStatus:
    """Return the status of a durable job, with its times converted by `from_monotonic`."""
    state, end = JobState.QUEUED_ACTIVE, None
    if job.verdict:
        state = JobState.DONE if job.verdict == Verdict.SERVED.value else JobState.FAILED
        end = JobEnd(job.answer, from_monotonic(job.finished_at))
    elif job.attempts:
        state = JobState.RUNNING
    return JobStatus(job.id, job.class_name, state, from_monotonic(job.accepted_at), end)
