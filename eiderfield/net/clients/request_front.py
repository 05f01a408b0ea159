"""The front of the platform's protocol: a request is a POST that waits for its answer."""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import partial
from math import isfinite
from typing import Protocol

from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Answer, Request, Verdict
from eiderfield.idmap import IdMap, plain
from eiderfield.interface import Effect, RequestClass
from eiderfield.net.clients.front import ClientDeparted, ListenerStatus, Responder
from eiderfield.net.http import Head, MalformedMessageError

MOST_NEEDED = 100_000.0  # slots or units of memory that a request may need
DEADLINE_DIGITS = 12  # of X-Deadline-Ms, at most

_NEEDS = frozenset({"slots", "memory"})
_WORD = re.compile(r"[!-~]{1,256}\Z")


class DurableIntake(Protocol):
    """Accepts requests of durable classes (`durable_requests/intake.py`)."""

    def is_durable(self, class_index: int) -> bool:
        """Return whether requests of a class are durable."""

    def accept(self, request: Request, on_answer: Callable[[Answer], None]) -> Callable[[], None]:
        """Accept a request, or join its client to a known one; return what to call when it leaves."""


class RequestFront:
    """Takes requests of the settings' classes, and answers readiness checks."""

    def __init__(
        self,
        exchange: Exchange,
        ids: IdMap,
        clock: Callable[[], float],
        durable: DurableIntake | None = None,
    ) -> None:
        """`durable` takes the requests of the classes that it keeps."""
        self._exchange = exchange
        self._durable = durable
        self._ids = ids
        self._clock = clock
        self._classes = {cls.name: number for number, cls in enumerate(exchange.settings.classes)}
        self._tenants = {tenant.name: number for number, tenant in enumerate(exchange.settings.tenants)}

    def handle_message(
        self, listener: ListenerStatus, connection: Responder, head: Head, body: bytes
    ) -> ClientDeparted | None:
        """Takes a request, or says whether this dispatcher is ready."""
        path = head.target.partition("?")[0]
        if path == "/ready":
            self._answer_readiness(listener, connection)
            return None
        parts = path.split("/")
        number = self._classes.get(parts[1]) if len(parts) > 1 and not parts[0] else None
        if number is None:
            connection.reject(404, "no such class")
            return None
        if head.method != "POST":
            connection.reject(405, "jobs arrive by POST", Allow="POST")
            return None
        try:
            request = self._read_request(number, parts[2:], head, body, listener.response_deadline)
        except MalformedMessageError as error:
            connection.reject(error.status, str(error))
            return None
        return self._take(connection, request)

    def _answer_readiness(self, listener: ListenerStatus, connection: Responder) -> None:
        ready = self._exchange.endpoints.any_ready and listener.listening and not listener.draining
        if listener.draining:
            connection.reject(503, "not ready")
        else:
            connection.answer(200 if ready else 503, b"ready\n" if ready else b"not ready\n")

    def _take(self, connection: Responder, request: Request) -> ClientDeparted | None:
        if self._durable is not None and self._durable.is_durable(request.class_index):
            connection.proven = True
            return self._durable.accept(request, partial(write_answer, connection, durable=True))
        if self._exchange.has_request(request.id):  # the workers would see the request twice
            connection.reject(409, "X-Request-Id is that of a job which is not over yet")
            return None
        connection.proven = True
        id_ = self._exchange.submit(
            request, partial(write_answer, connection), client_waits=lambda: connection.client_connected
        )
        return partial(self._withdraw, id_)

    def _withdraw(self, id_: int) -> None:
        self._exchange.cancel_request(id_)

    def _read_request(self, number: int, parts: list[str], head: Head, body: bytes, until: float) -> Request:
        cls = self._exchange.settings.classes[number]
        _check_ids(head, cls)
        needs = read_extras(head.get("x-extras"))
        return Request(
            id=head.get("x-request-id"),
            class_index=number,
            deadline=min(self._clock() + _read_deadline(head, cls), until),
            target=head.target,
            host=head.get("host") or "backend.local",
            body=body,
            idempotency_key=head.get("idempotency-key"),
            subject=self._ids.subject(parts[-1]) if parts else 0,
            is_client_retry=head.get("x-retry") == "1",
            tenant_index=self._tenants.get(plain(head.get("x-tenant")), len(self._tenants)),
            slots=needs.get("slots", 1.0),
            memory=needs.get("memory", 0.0),
        )


def _check_ids(head: Head, cls: RequestClass) -> None:
    """Raises `MalformedMessageError` for a missing or odd request id or idempotency key."""
    for name in ("X-Request-Id", "Idempotency-Key"):
        word = head.get(name.lower())
        if not word and (name == "X-Request-Id" or cls.effect == Effect.KEYED):
            raise MalformedMessageError(f"{name} is missing")
        if word and not _WORD.match(word):
            raise MalformedMessageError(f"{name} is not a plain word")


def _read_deadline(head: Head, cls: RequestClass) -> float:
    """How long the client waits, in ms; no longer than its class allows."""
    if "x-deadline-ms" not in head.headers:
        return cls.deadline_ms
    text = head.get("x-deadline-ms")
    if not text.isascii() or not text.isdigit() or len(text) > DEADLINE_DIGITS:
        raise MalformedMessageError("X-Deadline-Ms is not a whole number")
    return min(float(text), cls.deadline_ms)


def read_extras(text: str) -> dict[str, float]:
    """The figures of X-Extras; raises `MalformedMessageError`."""
    figures = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if not name:
            continue
        try:
            figures[name] = float(value)
        except ValueError:
            raise MalformedMessageError(f"X-Extras: {name} is not a number") from None
        if not isfinite(figures[name]):
            raise MalformedMessageError(f"X-Extras: {name} is not a number")
        if name in _NEEDS and not 0.0 <= figures[name] <= MOST_NEEDED:
            raise MalformedMessageError(f"X-Extras: no worker has such {name}")
    return figures


def write_answer(connection: Responder, answer: Answer, durable: bool = False) -> None:
    """Writes a final answer in the platform's protocol.

    Only a rejection of the policy's becomes a 503. The answer to a durable request that failed says whether
    it may have run."""
    if answer.verdict == Verdict.SERVED:
        connection.answer(200, answer.result)
    elif answer.verdict == Verdict.DECLINED:
        advice = {"Retry_After": f"{answer.retry_after / 1000.0:.3f}"} if answer.retry_after > 0.0 else {}
        connection.answer(503, b"declined\n", **advice)
    elif answer.verdict == Verdict.CONFLICT:
        connection.reject(409, "X-Request-Id or Idempotency-Key is that of another job")
    elif answer.verdict == Verdict.REJECTED:
        connection.reject(400, "no worker can use this job")
    else:
        more = {"X_May_Have_Run": "1" if answer.may_have_run else "0"} if durable else {}
        connection.answer(502, b"failed\n", **more)
