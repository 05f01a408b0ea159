"""The console, with which operators read the dispatcher's state and disable and enable workers.

    GET  /-/ready               200 while this process accepts clients, 503 before that and during shutdown
    GET  /-/metrics             the figures, as JSON
    GET  /-/config              the settings in use, their generation and digest, and the last settings that
                                were rejected, with the reason
    POST /-/workers/ID/disable  sends no requests to worker ID until it is enabled
    POST /-/workers/ID/enable   sends requests to worker ID again

A connection carries one call. The console has no state: figures are read from the components that count them,
and bans are stored in the routing table.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import unquote

from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Verdict
from eiderfield.net.clients import ListenerStatus, Responder
from eiderfield.net.discovery.routing_table import RoutingTable
from eiderfield.net.http import Head
from eiderfield.net.http.status import (
    INTERNAL_SERVER_ERROR,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    SERVICE_UNAVAILABLE,
)

CALL_TIMEOUT_MS = 1000.0  # the time that callers wait, and within which a call must be received
WRITE_TIMEOUT_MS = (
    0.8 * CALL_TIMEOUT_MS
)  # the time for a write to disk, after which the call is answered without it

# The figures by class: the verdicts that each of them counts.
_VERDICTS_BY_FIGURE = {
    "success": (Verdict.SERVED,),
    "busy": (Verdict.DECLINED,),
    "failure": (Verdict.FAILED, Verdict.REJECTED),
}


def figures(
    exchange: Exchange, table: RoutingTable, program_figures: Mapping[str, Any], now: float
) -> dict[str, Any]:
    """Return the figures of `/-/metrics`: of requests, of workers, and of the program's components."""
    return {**_request_figures(exchange), **_worker_figures(exchange, table, now), **program_figures}


def _request_figures(exchange: Exchange) -> dict[str, Any]:
    metrics = exchange.metrics
    names = [cls.name for cls in exchange.settings.classes]
    answered = {
        figure: {name: sum([metrics.final_answers[n, v] for v in verdicts]) for n, name in enumerate(names)}
        for figure, verdicts in _VERDICTS_BY_FIGURE.items()
    }
    return {
        **answered,
        "in_time": {name: metrics.served_within_objective[n] for n, name in enumerate(names)},
        "waits": {name: metrics.response_time_sums(n) for n, name in enumerate(names)},
        "broken": dict(metrics.prevented_violations),
        "backend_calls": metrics.attempts_written,
        "called_off": dict(metrics.cancelled_attempts),
        "spoilt_answers": metrics.malformed_responses,
        "inflight": exchange.pending_request_count,
    }


def _worker_figures(exchange: Exchange, table: RoutingTable, now: float) -> dict[str, Any]:
    listed = table.listed_workers
    return {
        "watches_reopened": dict(table.watches_reopened),
        "hosts_listed": len(listed),
        "hosts_doubted": table.unconfirmed_removals,
        "entries_refused": len(table.refused_entries),
        "hosts_banned": sorted(table.bans.since),
        "hosts_down": len(exchange.snapshot(now).avoided_workers & listed),
    }


class ConsoleFront:
    """Handles the calls of the console's listener."""

    def __init__(
        self,
        exchange: Exchange,
        table: RoutingTable,
        clock: Callable[[], float],
        ready: Callable[[], bool],
        program_figures: Callable[[], Mapping[str, Any]],
        config: Callable[[], Mapping[str, Any]] = dict,
    ) -> None:
        """Create a console; `program_figures` adds to `/-/metrics`, `config` returns `/-/config`."""
        self._exchange = exchange
        self._table = table
        self._clock = clock
        self._ready = ready
        self._program_figures = program_figures
        self._config = config

    def handle_message(
        self, listener: ListenerStatus, connection: Responder, head: Head, _body: bytes
    ) -> Callable[[], None] | None:
        """Respond to a call and close its connection."""
        path = head.target.partition("?")[0]
        match path.split("/")[1:]:
            case ["-", "ready"]:
                if _check_method(connection, head, "GET"):
                    self._answer_readiness(connection)
            case ["-", "metrics"]:
                if _check_method(connection, head, "GET"):
                    _write_json(connection, self._figures())
            case ["-", "config"]:
                if _check_method(connection, head, "GET"):
                    _write_json(connection, self._config())
            case ["-", "workers", name, "disable" | "enable" as call]:
                if _check_method(connection, head, "POST"):
                    self._set_worker_disabled(listener, connection, unquote(name), call == "disable")
            case _:
                connection.reject(NOT_FOUND, "no such call")
        return None

    def _answer_readiness(self, connection: Responder) -> None:
        ready = self._ready()
        connection.reject(OK if ready else SERVICE_UNAVAILABLE, "ready" if ready else "not ready")

    def _figures(self) -> dict[str, Any]:
        return figures(self._exchange, self._table, self._program_figures(), self._clock())

    def _set_worker_disabled(
        self, listener: ListenerStatus, connection: Responder, name: str, disable: bool
    ) -> None:
        """Disable or enable a worker; respond when the write to disk has ended, failed or timed out."""
        response = _MaintenanceResponse(connection, name, disable)
        change = self._table.ban if disable else self._table.unban
        if not change(name, response.write_ended):
            connection.reject(NOT_FOUND, "no worker of this id was ever listed")
        elif not response.sent:
            listener.timers.call_at(listener.clock() + WRITE_TIMEOUT_MS, response.write_overdue)


class _MaintenanceResponse:
    """The only response to a call that disables or enables a worker."""

    def __init__(self, connection: Responder, name: str, disable: bool) -> None:
        self._connection = connection
        self._name = name
        self._disable = disable
        self.sent = False

    def write_ended(self, written: bool) -> None:
        """Respond that the change is written to disk, or that writing has failed."""
        if self.sent:
            return
        self.sent = True
        if written:
            _write_json(self._connection, {"worker": self._name, "disabled": self._disable})
        else:
            self._connection.reject(
                INTERNAL_SERVER_ERROR, "in force, but not written down yet: it is lost if the program ends"
            )

    def write_overdue(self) -> None:
        """Respond before the caller times out: the write to disk is not complete yet."""
        self.write_ended(False)


def _check_method(connection: Responder, head: Head, method: str) -> bool:
    if head.method != method:
        connection.reject(METHOD_NOT_ALLOWED, f"this call is a {method}", Allow=method)
    return head.method == method


def _write_json(connection: Responder, answer: Mapping[str, Any]) -> None:
    connection.finish(OK, json.dumps(answer).encode() + b"\n", Content_Type="application/json")
