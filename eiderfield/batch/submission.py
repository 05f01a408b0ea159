"""Submission of batch jobs to the exchange or, for durable classes, to the durable store.

A job is submitted once: it is not sent again, and one that the policy rejects stays rejected. Of the jobs of
one submission all are accepted or none (`BulkSubmission`).
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from dataclasses import replace

from eiderfield.batch.bulk import BulkResult, BulkSubmission, PreparedJob
from eiderfield.batch.drmaa import RETRY_AFTER_MS, InvalidArgumentError, TryLaterError
from eiderfield.batch.durable import DurableJobs
from eiderfield.batch.job import BatchJob
from eiderfield.batch.job_table import JobTable
from eiderfield.batch.messages import JobTemplate
from eiderfield.batch.validation import check_template
from eiderfield.exchange.exchange import Exchange
from eiderfield.exchange.request import Request
from eiderfield.idmap import IdMap
from eiderfield.interface import Effect

RANDOM_ID_BYTES = 8  # in the ids of a process's jobs
MAX_BULK_JOBS = 1000  # jobs of one bulk submission


class JobSubmission:
    """Checks job templates against the limits, and submits them as requests."""

    def __init__(
        self,
        exchange: Exchange,
        clock: Callable[[], float],
        dispatcher_name: str,
        table: JobTable,
        durable: DurableJobs | None,
    ) -> None:
        """Submit jobs to `exchange` and add them to `table`; `durable` accepts those of durable classes."""
        self._exchange = exchange
        self._clock = clock
        self._table = table
        self._durable = durable
        # A job's id must not come again after a restart: workers recognise a repeat by it. Any clock may show
        # the same time again.
        self._id_prefix = f"{dispatcher_name}-{os.urandom(RANDOM_ID_BYTES).hex()}"
        self._last_number = 0
        classes = exchange.settings.classes
        self._class_indexes = {each.name: index for index, each in enumerate(classes)}

    def run_bulk_jobs(
        self, templates: Sequence[JobTemplate], on_settled: Callable[[BulkResult], None]
    ) -> None:
        """Submit all jobs of `templates`, or none of them if one is faulty or refused or there are too many.

        `on_settled` is called once, with the result. It may be called before this method returns.

        Raises:
            InvalidArgumentError: A template is faulty, or there are none or too many.
            DeniedByDrmError: A template can't be accepted here.
            TryLaterError: The dispatcher has no capacity for so many jobs at the moment.
        """
        if not templates:
            raise InvalidArgumentError("no job is given")
        if len(templates) > MAX_BULK_JOBS:
            raise InvalidArgumentError(f"more than {MAX_BULK_JOBS} jobs are given")
        for template in templates:
            class_index = self._class_indexes.get(template.job_class)
            classes = self._exchange.settings.classes
            check_template(template, None if class_index is None else classes[class_index])
        self._check_capacity(templates)
        self._table.forget_expired()
        jobs = [self._prepare(template) for template in templates]
        BulkSubmission(self._exchange, self._table, self._durable, jobs, on_settled).start()

    def is_durable(self, template: JobTemplate) -> bool:
        """Return whether jobs of the template's class go to the durable store."""
        durable = self._durable
        return durable is not None and durable.is_durable(self._class_indexes[template.job_class])

    def _check_capacity(self, templates: Sequence[JobTemplate]) -> None:
        """Raise `TryLaterError` where so many more jobs would be over a limit."""
        if not self._table.has_slots(len(templates)):
            raise TryLaterError("too many jobs are unfinished", RETRY_AFTER_MS)
        self._check_durable_capacity(sum(map(self.is_durable, templates)))
        size = sum(len(template.body.encode()) for template in templates)
        if not self._table.free_memory(size):  # the whole process is killed for memory otherwise
            raise TryLaterError("unfinished jobs hold too much memory", RETRY_AFTER_MS)

    def _check_durable_capacity(self, count: int) -> None:
        durable = self._durable
        if durable is None or count == 0:
            return
        if count > durable.max_waiting:
            raise InvalidArgumentError(
                f"more than {durable.max_waiting} jobs of durable classes are given (custody.queue_most)"
            )
        if not durable.has_capacity(count):
            raise TryLaterError("too many jobs are being written down", RETRY_AFTER_MS)

    def _prepare(self, template: JobTemplate) -> PreparedJob:
        body = template.body.encode()
        is_durable = self.is_durable(template)
        job = BatchJob(self._next_id(), replace(template, body=""), self._clock(), len(body), is_durable)
        self._table.add(job)
        return PreparedJob(job, self._request_for(job, body))

    def _request_for(self, job: BatchJob, body: bytes) -> Request:
        template = job.template
        class_index = self._class_indexes[template.job_class]
        request_class = self._exchange.settings.classes[class_index]
        key = template.idempotency_key or (job.job_id if request_class.effect == Effect.KEYED else "")
        path = f"/{request_class.name}"
        return Request(
            id=job.job_id,
            class_index=class_index,
            deadline=job.submitted_at + (template.deadline or request_class.deadline_ms),
            target=f"{path}/{template.subject}" if template.subject else path,
            body=body,
            idempotency_key=key,
            subject=IdMap.key_number(template.subject),
        )

    def _next_id(self) -> str:
        """Return an id that no pending request has, of this front or another."""
        self._last_number += 1
        while self._exchange.has_request(f"{self._id_prefix}.{self._last_number}"):
            self._last_number += 1
        return f"{self._id_prefix}.{self._last_number}"
