"""Parsers of the parameters in messages of the batch protocol."""

from __future__ import annotations

from urllib.parse import parse_qs

from eiderfield.batch.drmaa import ControlAction, DeniedByDrmError, InvalidArgumentError
from eiderfield.batch.messages import SHOWN_CHARACTERS

MAX_WAIT_MS = 600_000.0


def parse_wait_timeout(query: str) -> float:
    """Return for how many ms a client waits for a job's end; raise `InvalidArgumentError`."""
    text = parse_qs(query).get("timeoutMs", [f"{MAX_WAIT_MS}"])[-1]
    try:
        wait = min(float(text), MAX_WAIT_MS)
    except ValueError:
        raise InvalidArgumentError(f"timeoutMs is not a number: {text[:SHOWN_CHARACTERS]!r}") from None
    if not wait >= 0.0:  # this holds for NaN too
        raise InvalidArgumentError("timeoutMs is less than 0")
    return wait


def require_terminate(action: object) -> None:
    """Check that a control action is the one that can be carried out.

    Raises:
        InvalidArgumentError: There is no such action.
        DeniedByDrmError: The action is another one of DRMAA's.
    """
    try:
        requested = ControlAction(action)
    except ValueError:
        text = str(action)[:SHOWN_CHARACTERS]
        raise InvalidArgumentError(f"no such control action: {text!r}") from None
    if requested != ControlAction.TERMINATE:
        raise DeniedByDrmError(f"workers cannot {requested.value} a job")
