"""The table of deployments: a settings object for each; the same tests run over all. A new one is a row."""

from __future__ import annotations

from dataclasses import replace

from eiderfield.interface import Scope, Tenant
from support.policy import BASE, KEYED, SAFE, UNSAFE

_TENANTS = (Tenant("large", 48.0, 0.73), Tenant("small", 18.0, 0.27))

DEPLOYMENTS = {
    # Four sites, safe and keyed jobs of one slot, nothing told between dispatchers, no reports, no copies.
    "claims": replace(
        BASE, classes=(replace(SAFE, worth=5.0), replace(KEYED, scope=Scope.ZONE)), balancers=4, zones=4,
        may_copy=False, may_probe=True, progress=1000.0, cross_zone_price=0.025, over_share_worth=0.1,
    ),
    # One site, three effects, two tenants, reports in answers, peers, copies, pods as a key's scope.
    "admissions": replace(
        BASE, classes=(SAFE, replace(KEYED, scope=Scope.CELL, worth=5.0), replace(UNSAFE, worth=3.0)),
        tenants=_TENANTS, balancers=2, may_probe=True, may_tell=True, progress=1000.0, drain_grace=1000.0,
        cold=23_000.0, cold_share=0.13, max_attempts=4, worth_by_work=True, over_share_worth=0.2,
        report_fields=("active", "rps", "x0"),
    ),
    "no cancel": replace(BASE, may_cancel=False, may_copy=False, balancers=3),
    "no probes, nothing told": replace(
        BASE, may_probe=False, tells_start=False, may_copy=False, may_advise=False, balancers=2,
    ),
    "many tenants": replace(
        BASE, tenants=tuple(Tenant(f"t{n}", 2.0, 0.05) for n in range(20)), over_share_worth=0.1,
        may_copy=False,
    ),
    "reports by probes only": replace(
        BASE, tells_start=False, may_probe=True, may_copy=False, balancers=9, report_fields=("x0",),
    ),
    "one attempt, never twice": replace(BASE, classes=(UNSAFE,), max_attempts=1, may_copy=False),
    "one worker": replace(BASE, progress=1000.0, report_fields=("x0",)),
    "two hundred dispatchers": replace(BASE, balancers=200, me=77, may_copy=False, progress=1000.0),
}  # fmt: skip

WORKERS = {"one worker": 1}  # of a deployment's dispatcher, where it isn't two
