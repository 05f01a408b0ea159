"""The front of the platform's protocol: a request is a POST, and its response is the request's result."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Answer, Request, Verdict
from eiderfield.idmap import IdMap, normalize_name
from eiderfield.net.clients.front import ClientDisconnectCallback, ListenerStatus, Responder
from eiderfield.net.clients.request_headers import check_ids, read_resource_needs, read_timeout
from eiderfield.net.http import Head, MalformedMessageError


class DurableIntake(Protocol):
    """Accepts requests of durable classes (`durable_requests/intake.py`)."""

    def is_durable(self, class_index: int) -> bool:
        """Return whether requests of a class are durable."""

    def accept(self, request: Request, on_answer: Callable[[Answer], None]) -> ClientDisconnectCallback:
        """Accept a request, or attach its client to a known one; return what to call if it disconnects."""


class RequestFront:
    """Submits requests of the settings' classes to the exchange, and responds to readiness checks."""

    def __init__(
        self,
        exchange: Exchange,
        ids: IdMap,
        clock: Callable[[], float],
        durable: DurableIntake | None = None,
    ) -> None:
        """Submit requests to `exchange`, and those of durable classes to `durable`, if it is given."""
        self._exchange = exchange
        self._durable = durable
        self._ids = ids
        self._clock = clock
        self._classes = {each.name: index for index, each in enumerate(exchange.settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(exchange.settings.tenants)}

    def handle_message(
        self, listener: ListenerStatus, connection: Responder, head: Head, body: bytes
    ) -> ClientDisconnectCallback | None:
        """Submit a request, or respond whether this dispatcher is ready."""
        path = head.target.partition("?")[0]
        if path == "/ready":
            self._answer_readiness(listener, connection)
            return None
        parts = path.split("/")
        class_index = self._classes.get(parts[1]) if len(parts) > 1 and not parts[0] else None
        if class_index is None:
            connection.reject(404, "no such class")
            return None
        if head.method != "POST":
            connection.reject(405, "jobs arrive by POST", Allow="POST")
            return None
        try:
            request = self._read_request(class_index, parts[2:], head, body, listener.response_deadline)
        except MalformedMessageError as error:
            connection.reject(error.status, str(error))
            return None
        return self._submit(connection, request)

    def _answer_readiness(self, listener: ListenerStatus, connection: Responder) -> None:
        ready = self._exchange.endpoints.any_ready and listener.listening and not listener.draining
        if listener.draining:
            connection.reject(503, "not ready")
        else:
            connection.answer(200 if ready else 503, b"ready\n" if ready else b"not ready\n")

    def _submit(self, connection: Responder, request: Request) -> ClientDisconnectCallback | None:
        if self._durable is not None and self._durable.is_durable(request.class_index):
            connection.proven = True
            return self._durable.accept(request, partial(write_answer, connection, durable=True))
        if self._exchange.has_request(request.id):  # workers must not receive two requests with the same id
            connection.reject(409, "X-Request-Id is that of a job which is not over yet")
            return None
        if self._exchange.has_begun(request):
            connection.reject(409, "X-Request-Id is that of a job that may have run and must not run twice")
            return None
        connection.proven = True
        id_ = self._exchange.submit(
            request,
            partial(write_answer, connection),
            is_client_connected=lambda: connection.client_connected,
        )
        return partial(self._exchange.cancel_request, id_)

    def _read_request(
        self, class_index: int, key_path: list[str], head: Head, body: bytes, response_deadline: float
    ) -> Request:
        request_class = self._exchange.settings.classes[class_index]
        check_ids(head, request_class)
        needs = read_resource_needs(head)
        return Request(
            id=head.get("x-request-id"),
            class_index=class_index,
            deadline=min(self._clock() + read_timeout(head, request_class), response_deadline),
            target=head.target,
            host=head.get("host") or "backend.local",
            body=body,
            idempotency_key=head.get("idempotency-key"),
            subject=self._ids.key_number(key_path[-1]) if key_path else 0,
            is_client_retry=head.get("x-retry") == "1",
            tenant_index=self._tenants.get(normalize_name(head.get("x-tenant")), len(self._tenants)),
            slots=needs.slots,
            memory=needs.memory,
        )


def write_answer(connection: Responder, answer: Answer, durable: bool = False) -> None:
    """Write the final answer to a request as its response.

    Only a request that the policy declines is answered 503. The response to a failed durable request says
    whether the request may have run.
    """
    if answer.verdict == Verdict.SERVED:
        connection.answer(200, answer.result)
    elif answer.verdict == Verdict.DECLINED:
        headers = {"Retry_After": f"{answer.retry_after / 1000.0:.3f}"} if answer.retry_after > 0.0 else {}
        connection.answer(503, b"declined\n", **headers)
    elif answer.verdict == Verdict.CONFLICT:
        connection.reject(409, "X-Request-Id or Idempotency-Key is that of another job")
    elif answer.verdict == Verdict.REJECTED:
        connection.reject(400, "no worker can use this job")
    else:
        headers = {"X_May_Have_Run": "1" if answer.may_have_run else "0"} if durable else {}
        connection.answer(502, b"failed\n", **headers)
