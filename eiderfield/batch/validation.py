"""Checks of the job templates that clients submit."""

from __future__ import annotations

from eiderfield.batch.drmaa import DeniedByDrmError, InvalidArgumentError
from eiderfield.batch.messages import MAX_NAME_LENGTH, SHOWN_CHARACTERS, JobTemplate
from eiderfield.interface import Effect
from eiderfield.model.settings import RequestClass

MAX_BODY_SIZE = 65536  # bytes of a job's body, as for any request
MAX_DEADLINE_MS = 86_400_000.0  # a day


def check_template(template: JobTemplate, request_class: RequestClass | None) -> None:
    """Check a template against its class, None if there is no class of that name.

    Raises:
        InvalidArgumentError: A value of the template is wrong.
        DeniedByDrmError: The class takes no idempotency key.
    """
    if request_class is None:
        raise InvalidArgumentError(f"class {template.job_class!r} is not known")
    if not 0.0 <= template.deadline <= MAX_DEADLINE_MS:
        raise InvalidArgumentError("the deadline is not from 0 to a day")
    check_body(template.body)
    check_name(template.subject)
    check_name(template.idempotency_key)
    if request_class.effect == Effect.UNSAFE and template.idempotency_key:
        raise DeniedByDrmError(f"workers drop no repeat of class {request_class.name}: it takes no key")


def check_body(body: str) -> None:
    """Raise `InvalidArgumentError` for a body that is too long or can't be encoded."""
    try:
        size = len(body.encode())
    except UnicodeEncodeError:
        raise InvalidArgumentError("the body is not a text") from None
    if size > MAX_BODY_SIZE:
        raise InvalidArgumentError(f"the body is longer than {MAX_BODY_SIZE} bytes")


def check_name(name: str) -> None:
    """Raise `InvalidArgumentError` for a subject or key that does not fit into a path or a header."""
    plain = all("!" <= character <= "~" and character not in "/?#" for character in name)
    if len(name) > MAX_NAME_LENGTH or not plain:
        raise InvalidArgumentError(f"not a plain name: {name[:SHOWN_CHARACTERS]!r}")
