"""Calls to workers: encodes their HTTP requests, and reports their outcomes to the exchange."""

from __future__ import annotations

from collections.abc import Callable

from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Attempt
from eiderfield.interface import Outcome
from eiderfield.net.http import Head
from eiderfield.net.http.status import OK
from eiderfield.net.reports import parse_report_body, parse_text_report, report_from_mapping
from eiderfield.net.worker_messages import HealthCheck, WorkerCall, attempt_request, health_check_request


class CallReporter:
    """Encodes the HTTP requests of calls, and reports their outcomes and load reports to the exchange."""

    def __init__(self, exchange: Exchange, clock: Callable[[], float]) -> None:
        """Create a reporter; `clock` returns the process's time, in ms."""
        self.exchange = exchange
        self._clock = clock

    def health_check(self, worker: int) -> HealthCheck:
        """Return a new health check. It requests a load report if the settings name fields of one."""
        return HealthCheck(worker, self._clock(), bool(self.exchange.settings.load_report_fields))

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be written to a connection."""
        return self.exchange.worker_reports.may_write(attempt, self._clock())

    def request_for(self, call: WorkerCall) -> bytes:
        """Return the HTTP request of an attempt or a health check."""
        if isinstance(call, HealthCheck):
            return health_check_request(call.wants_report)
        return attempt_request(call.pending.request, self._clock())

    def load_report(self, head: Head | None, report: object) -> tuple[float, ...]:
        """Return the load report in an attempt's last update or, if it has none, in the response's head."""
        fields = self.exchange.settings.load_report_fields
        if not fields or head is None:
            return ()
        return report_from_mapping(report, fields) or parse_text_report(head.get("x-load"), fields)

    def report_failure(self, call: WorkerCall | None, outcome: Outcome) -> None:
        """Report that a call ended without a response. Does nothing without a call."""
        if isinstance(call, Attempt):
            self.exchange.worker_reports.attempt_ended(call, outcome)
        elif call is not None:
            self.exchange.worker_reports.probe_completed(call.worker, outcome, self._clock() - call.sent_at)

    def report_health(self, check: HealthCheck, status: int, body: bytes) -> None:
        """Report the response to a health check."""
        report: tuple[float, ...] = ()
        if check.wants_report and status == OK:
            report = parse_report_body(body, self.exchange.settings.load_report_fields)
        outcome = Outcome.OK if status == OK else Outcome.ERROR
        self.exchange.worker_reports.probe_completed(
            check.worker, outcome, self._clock() - check.sent_at, report
        )
