"""The console: where operators read the dispatcher's state, and disable and enable workers.

    GET  /-/ready               200 once this process takes clients, 503 before and while it ends
    GET  /-/metrics             the figures, as JSON
    GET  /-/config              what this process runs with: its settings, their generation and digest, and
                                those that it was given last and did not take, with the reason
    POST /-/workers/ID/disable  sends worker ID nothing until it is enabled
    POST /-/workers/ID/enable   lets worker ID serve again

One call per connection. It holds no state: every figure is read, when it is asked for, where it is counted,
and bans belong to the routing table.
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

WAIT = 1000.0  # ms for which callers wait for an answer, and that a call may take to come in
# For which an answer waits for the disk, so that it comes in time whatever the disk does.
WRITE_PATIENCE = 0.8 * WAIT

# Each figure by class, and the verdicts that it counts.
_BY_CLASS = {
    "success": (Verdict.SERVED,),
    "busy": (Verdict.DECLINED,),
    "failure": (Verdict.FAILED, Verdict.REJECTED),
}


def figures(
    exchange: Exchange, table: RoutingTable, of_parts: Mapping[str, Any], now: float
) -> dict[str, Any]:
    """What `/-/metrics` says: of requests, of workers, and the figures that the program's parts give."""
    return {**_request_figures(exchange), **_worker_figures(exchange, table, now), **of_parts}


def _request_figures(exchange: Exchange) -> dict[str, Any]:
    metrics = exchange.metrics
    names = [cls.name for cls in exchange.settings.classes]
    answered = {
        figure: {name: sum([metrics.final_answers[n, v] for v in verdicts]) for n, name in enumerate(names)}
        for figure, verdicts in _BY_CLASS.items()
    }
    return {
        **answered,
        "in_time": {name: metrics.served_within_objective[n] for n, name in enumerate(names)},
        "waits": {name: metrics.response_time_sums(n) for n, name in enumerate(names)},
        "broken": dict(metrics.prevented_violations),
        "backend_calls": metrics.attempts_written,
        "called_off": dict(metrics.cancelled_attempts),
        "spoilt_answers": metrics.malformed_responses,
        "inflight": exchange.unanswered,
    }


def _worker_figures(exchange: Exchange, table: RoutingTable, now: float) -> dict[str, Any]:
    listed = table.listed_workers
    return {
        "watches_reopened": dict(table.watches_reopened),
        "hosts_listed": len(listed),
        "hosts_doubted": table.unconfirmed_removals,
        "hosts_banned": sorted(table.bans.since),
        "hosts_down": len(exchange.snapshot(now).avoided & listed),
    }


class ConsoleFront:
    """What the console's listener does with calls."""

    def __init__(
        self,
        exchange: Exchange,
        table: RoutingTable,
        clock: Callable[[], float],
        ready: Callable[[], bool],
        figures_of_parts: Callable[[], Mapping[str, Any]],
        config: Callable[[], Mapping[str, Any]] = dict,
    ) -> None:
        """`figures_of_parts` and `config` give what `/-/metrics` adds, and what `/-/config` says."""
        self._exchange = exchange
        self._table = table
        self._clock = clock
        self._ready = ready
        self._figures_of_parts = figures_of_parts
        self._config = config

    def handle_message(
        self, listener: ListenerStatus, connection: Responder, head: Head, body: bytes
    ) -> Callable[[], None] | None:
        """Answers a call at once and closes its connection."""
        path = head.target.partition("?")[0]
        match path.split("/")[1:]:
            case ["-", "ready"]:
                if _allowed(connection, head, "GET"):
                    self._answer_readiness(connection)
            case ["-", "metrics"]:
                if _allowed(connection, head, "GET"):
                    _write_json(connection, self._figures())
            case ["-", "config"]:
                if _allowed(connection, head, "GET"):
                    _write_json(connection, self._config())
            case ["-", "workers", name, "disable" | "enable" as call]:
                if _allowed(connection, head, "POST"):
                    self._maintain(listener, connection, unquote(name), call == "disable")
            case _:
                connection.reject(404, "no such call")
        return None

    def _answer_readiness(self, connection: Responder) -> None:
        ready = self._ready()
        connection.reject(200 if ready else 503, "ready" if ready else "not ready")

    def _figures(self) -> dict[str, Any]:
        return figures(self._exchange, self._table, self._figures_of_parts(), self._clock())

    def _maintain(self, listener: ListenerStatus, connection: Responder, name: str, disable: bool) -> None:
        """Disables a worker or enables it again; answers once that is on the disk, or cannot be for now."""
        answer = _MaintenanceAnswer(connection, name, disable)
        change = self._table.ban if disable else self._table.unban
        if not change(name, answer.write_ended):
            connection.reject(404, "no worker of this id was ever listed")
        elif not answer.given:
            listener.timers.at(listener.clock() + WRITE_PATIENCE, answer.write_overdue)


class _MaintenanceAnswer:
    """The one answer to a call that disables or enables a worker."""

    def __init__(self, connection: Responder, name: str, disable: bool) -> None:
        self._connection = connection
        self._name = name
        self._disable = disable
        self.given = False

    def write_ended(self, written: bool) -> None:
        """The change is on the disk, or the disk has refused it."""
        if self.given:
            return
        self.given = True
        if written:
            _write_json(self._connection, {"worker": self._name, "disabled": self._disable})
        else:
            self._connection.reject(500, "in force, but not written down yet: it is lost if the program ends")

    def write_overdue(self) -> None:
        """The disk takes longer than the caller waits."""
        self.write_ended(False)


def _allowed(connection: Responder, head: Head, method: str) -> bool:
    if head.method != method:
        connection.reject(405, f"this call is a {method}", Allow=method)
    return head.method == method


def _write_json(connection: Responder, answer: Mapping[str, Any]) -> None:
    connection.finish(200, json.dumps(answer).encode() + b"\n", Content_Type="application/json")
