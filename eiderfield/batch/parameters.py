"""The parameters of the batch front's requests."""

from __future__ import annotations

from urllib.parse import parse_qs

from eiderfield.batch.drmaa import ControlAction, DeniedByDrmError, InvalidArgumentError
from eiderfield.batch.messages import SHOWN_CHARACTERS

LONGEST_WAIT = 600_000.0  # ms


def wait_of(query: str) -> float:
    """For how long a client waits for a job's end, in ms."""
    text = parse_qs(query).get("timeoutMs", [f"{LONGEST_WAIT}"])[-1]
    try:
        wait = min(float(text), LONGEST_WAIT)
    except ValueError:
        raise InvalidArgumentError(f"timeoutMs is not a number: {text[:SHOWN_CHARACTERS]!r}") from None
    if not wait >= 0.0:  # this holds for NaN too
        raise InvalidArgumentError("timeoutMs is less than 0")
    return wait


def require_terminate(action: object) -> None:
    """Raises where a control action is not the one that workers can carry out."""
    try:
        requested = ControlAction(action)
    except ValueError:
        text = str(action)[:SHOWN_CHARACTERS]
        raise InvalidArgumentError(f"no such control action: {text!r}") from None
    if requested != ControlAction.TERMINATE:
        raise DeniedByDrmError(f"workers cannot {requested.value} a job")
