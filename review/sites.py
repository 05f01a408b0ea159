"""The settings of the two sites, as the configuration of a dispatcher holds them, and their workers."""

from __future__ import annotations

from pathlib import Path

from standins import HOST, Consul, Group, Record, Worker, WorkerSettings

DURABLE_LEASE_MS = 3000  # as in deploy/durable-requests-example.toml


def limits(max_attempts: int, conn_idle: int, dial_timeout: int, second_copies: bool) -> dict[str, object]:
    """Return the table `policy_limits`."""
    return {
        "cancel": True,
        "probes": False,
        "retry_after": True,
        "max_retry_after": 2000,
        "max_attempts": max_attempts,
        "may_duplicate": second_copies,
        "may_tell": False,
        "conn_idle": conn_idle,
        "dial_timeout": dial_timeout,
        "max_streams": 1,
    }


def rules(drain_grace: int, cold: int, start_capacity: float) -> dict[str, object]:
    """Return the table `rules`."""
    return {
        "answer_slack": 8,
        "drain_grace": drain_grace,
        "fall": 1500,
        "fall_multiple": 2.5,
        "cold": cold,
        "start_capacity": start_capacity,
    }


SOFIA_SETTINGS: dict[str, object] = {
    "balancers": 2,
    "zones": ["sofia-dc1"],
    "kinds": ["std4", "slow5"],
    "locality": 0,
    "family_info": {"tells_start": True, "progress": 1000, "class_stretch": [2.0, 1.75, 2.5]},
    "policy_limits": limits(4, 5000, 120, True),
    "rules": rules(1000, 23000, 0.13),
    "classes": [
        {"name": "status-check", "value": 1, "goal_time": 150, "give_up": 5000, "idempotency": "retryable"},
        {
            "name": "choice-update",
            "value": 5,
            "goal_time": 150,
            "give_up": 5000,
            "idempotency": "dedup",
            "key_scope": "cell",
            "repeat_window": 7500,
        },
        {"name": "enrol-confirm", "value": 3, "goal_time": 150, "give_up": 6000, "idempotency": "fragile"},
    ],
}
SOFIA_SERVICE = "admission-workers"
SOFIA_WINDOW_S = 7.5

KOCHI_SITES = ("kochi", "thrissur", "kozhikode", "kollam")
KOCHI_SETTINGS: dict[str, object] = {
    "balancers": 4,
    "zones": list(KOCHI_SITES),
    "kinds": ["std-5", "slow-5"],
    "locality": 0,
    "family_info": {"tells_start": True, "progress": 1000, "class_stretch": [2.5, 2.0]},
    "policy_limits": limits(5, 10000, 100, False),
    "rules": rules(500, 8600, 0.33),
    "classes": [
        {"name": "claim-status", "value": 5, "goal_time": 250, "give_up": 5000, "idempotency": "retryable"},
        {
            "name": "loss-report",
            "value": 3,
            "goal_time": 400,
            "give_up": 12000,
            "idempotency": "dedup",
            "key_scope": "zone",
            "repeat_window": 20000,
        },
    ],
}
KOCHI_SERVICE = "claim-workers"
KOCHI_WORKERS_PER_SITE = 3
KOCHI_WINDOW_S = 20.0

SOFIA_WORK_S = {"status-check": 0.285, "choice-update": 0.19, "enrol-confirm": 0.57}
KOCHI_WORK_S = {"claim-status": 0.275, "loss-report": 1.07}
SOFIA_WORKERS = WorkerSettings(slots=4, queue=35, idle_s=5.0, work_s=SOFIA_WORK_S.__getitem__)
KOCHI_WORKERS = WorkerSettings(slots=5, queue=60, idle_s=10.0, work_s=KOCHI_WORK_S.__getitem__)


async def kochi_workers(settings: WorkerSettings, record: Record) -> list[Worker]:
    """Return the workers of the four sites, which listen."""
    groups = [Group(site, KOCHI_WINDOW_S) for site in KOCHI_SITES]
    workers = [
        Worker(f"{group.name}-{number}", group.name, "std-5", group, settings, record)
        for group in groups
        for number in range(KOCHI_WORKERS_PER_SITE)
    ]
    for worker in workers:
        await worker.open()
    return workers


def with_consul(settings: dict[str, object], service: str, consul: Consul, me: int) -> dict[str, object]:
    """Return a dispatcher's configuration that follows Consul."""
    source = {"kind": "consul", "address": f"{HOST}:{consul.port}", "service": service}
    return {"discovery": source, "settings": {**settings, "me": me}}


def durable(config: dict[str, object], folder: Path, class_name: str) -> dict[str, object]:
    """Return the configuration with durable requests of a class, as the example file in deploy/ has them."""
    custody = {
        "folder": str(folder / "custody"),
        "classes": [class_name],
        "lease_ms": DURABLE_LEASE_MS,
        "keep_ms": 600000,
        "finished_most": 20000,
        "memory_mb": 256,
        "queue_most": 2000,
        "takeover_per_s": 200,
    }
    return {**config, "custody": custody}
