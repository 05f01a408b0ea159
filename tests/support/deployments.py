"""The table of deployments: a settings object for each; the same tests run over all. A new one is a row."""

from __future__ import annotations

from dataclasses import replace

from eiderfield.interface import Scope, Tenant
from support.policy import BASE, KEYED, SAFE, UNSAFE

_TENANTS = (Tenant("large", 48.0, 0.73), Tenant("small", 18.0, 0.27))

DEPLOYMENTS = {
    # Four sites, safe and keyed jobs of one slot, nothing told between dispatchers, no reports, no copies.
    "claims": replace(
        BASE,
        classes=(replace(SAFE, priority_weight=5.0), replace(KEYED, scope=Scope.ZONE)),
        dispatcher_count=4,
        zone_count=4,
        hedging_allowed=False,
        probing_allowed=True,
        progress_interval_ms=1000.0,
        cross_zone_cost=0.025,
        over_quota_weight=0.1,
    ),
    # One site, three effects, two tenants, reports in answers, peers, copies, pods as a key's scope.
    "admissions": replace(
        BASE,
        classes=(
            SAFE,
            replace(KEYED, scope=Scope.CELL, priority_weight=5.0),
            replace(UNSAFE, priority_weight=3.0),
        ),
        tenants=_TENANTS,
        dispatcher_count=2,
        probing_allowed=True,
        gossip_allowed=True,
        progress_interval_ms=1000.0,
        drain_grace_ms=1000.0,
        slow_start_window_ms=23_000.0,
        slow_start_share=0.13,
        max_attempts=4,
        weight_by_work=True,
        over_quota_weight=0.2,
        load_report_fields=("active", "rps", "x0"),
    ),
    "no cancel": replace(BASE, cancellation_allowed=False, hedging_allowed=False, dispatcher_count=3),
    "no probes, nothing told": replace(
        BASE,
        probing_allowed=False,
        workers_report_start=False,
        hedging_allowed=False,
        retry_advice_allowed=False,
        dispatcher_count=2,
    ),
    "many tenants": replace(
        BASE,
        tenants=tuple(Tenant(f"t{n}", 2.0, 0.05) for n in range(20)),
        over_quota_weight=0.1,
        hedging_allowed=False,
    ),
    "reports by probes only": replace(
        BASE,
        workers_report_start=False,
        probing_allowed=True,
        hedging_allowed=False,
        dispatcher_count=9,
        load_report_fields=("x0",),
    ),
    "one attempt, never twice": replace(BASE, classes=(UNSAFE,), max_attempts=1, hedging_allowed=False),
    "one worker": replace(BASE, progress_interval_ms=1000.0, load_report_fields=("x0",)),
    "two hundred dispatchers": replace(
        BASE, dispatcher_count=200, dispatcher_index=77, hedging_allowed=False, progress_interval_ms=1000.0
    ),
}

WORKERS = {"one worker": 1}  # of a deployment's dispatcher, where it isn't two
