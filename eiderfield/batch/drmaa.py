"""DRMAA's states, control actions and errors, by the names of its specification (GFD-R.133)."""

from __future__ import annotations

from enum import Enum

from eiderfield.errors import EiderfieldError

RETRY_AFTER_MS = 1000.0  # that a client is advised to wait where there is no capacity


class JobState(Enum):
    """The state of a job."""

    UNDETERMINED = "undetermined"
    QUEUED_ACTIVE = "queued_active"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"

    @property
    def final(self) -> bool:
        """Whether the job has its final answer."""
        return self in (JobState.DONE, JobState.FAILED)


class ControlAction(Enum):
    """The actions that DRMAA applies to a job. Only TERMINATE can be carried out here."""

    SUSPEND = "suspend"
    RESUME = "resume"
    HOLD = "hold"
    RELEASE = "release"
    TERMINATE = "terminate"


class DrmaaError(EiderfieldError):
    """An error with DRMAA's name for it and the HTTP status that carries it."""

    name = "InternalException"
    status = 500

    def __init__(self, message: str, retry_after: float = 0.0) -> None:
        """Create an error; `retry_after` is the advised wait in ms, 0 for none."""
        super().__init__(message)
        self.retry_after = retry_after


class InvalidJobError(DrmaaError):
    """The job is not known, or was forgotten."""

    name = "InvalidJobException"
    status = 404


class InvalidArgumentError(DrmaaError):
    """An argument is missing or wrong."""

    name = "InvalidArgumentException"
    status = 400


class DeniedByDrmError(DrmaaError):
    """The job, or the action on it, can never be accepted here."""

    name = "DeniedByDrmException"
    status = 409


class TryLaterError(DrmaaError):
    """The dispatcher has no capacity at the moment; the same submission may succeed later."""

    name = "TryLaterException"
    status = 503


class ExitTimeoutError(DrmaaError):
    """The job did not end within the time of the wait."""

    name = "ExitTimeoutException"
    status = 408


class DrmCommunicationError(DrmaaError):
    """The dispatcher cannot be reached, or does not speak this protocol."""

    name = "DrmCommunicationException"
    status = 502

    def __init__(self, message: str, retry_after: float = 0.0, *, sent: bool = False) -> None:
        """Create an error; `sent` is whether the request may have arrived."""
        super().__init__(message, retry_after)
        self.sent = sent


ERRORS_BY_NAME: dict[str, type[DrmaaError]] = {
    error.name: error
    for error in (
        DrmaaError,
        InvalidJobError,
        InvalidArgumentError,
        DeniedByDrmError,
        TryLaterError,
        ExitTimeoutError,
        DrmCommunicationError,
    )
}
