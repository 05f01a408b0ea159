"""Settings of the batch front."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.config.address import Address


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """Where batch jobs are submitted, and how many are kept."""

    listen: Address
    max_finished_jobs: int
    max_finished_age_ms: float
    max_jobs: int
    max_bytes: int  # of bodies and results
