"""Settings of the batch front."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.config.address import Address


@dataclass(frozen=True, slots=True)
class JobLimits:
    """How many batch jobs a dispatcher holds, and for how long."""

    max_unfinished_jobs: int
    max_finished_jobs: int
    max_finished_age_ms: float  # since the job's end
    max_bytes: int  # bodies of unfinished jobs and results of finished ones


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """Address and limits of the batch front."""

    listen: Address
    limits: JobLimits
