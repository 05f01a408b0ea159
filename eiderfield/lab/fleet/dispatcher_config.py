"""Builds the configuration of a scenario's dispatchers."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from eiderfield.lab.fleet.scenario import Scenario

MAX_ATTEMPTS = 4  # of a request
DIAL_TIMEOUT_MS = 150.0
CONNECTION_IDLE_MS = 8000.0
ANSWER_SLACK_MS = 8.0
MAX_RETRY_AFTER_MS = 1000.0
CONSUL_SERVICE = "rig-workers"
CONSUL_WAIT_MS = 5000


def dispatcher_config(
    scenario: Scenario, name: str, listen: str, console: str, discovery: str, folder: Path
) -> dict[str, Any]:
    """Return the configuration of the dispatcher `name`; `folder` is the folder of the run."""
    config = {
        "name": name,
        "listen": listen,
        "console": console,
        "discovery": _discovery(scenario, discovery),
        "limits": {"sockets": 512, "memory_mb": 192},
        "settings": _settings(scenario, name),
    }
    if scenario.custody:
        classes = [job_class.name for job_class in scenario.job_classes]
        store_folder = str((folder / "custody").resolve())
        config["custody"] = {"folder": store_folder, "classes": classes, **scenario.custody}
    return config


def _discovery(scenario: Scenario, address: str) -> Any:
    if scenario.source == "platform":
        return address
    return {"kind": "consul", "address": address, "service": CONSUL_SERVICE, "wait_ms": CONSUL_WAIT_MS}


def _settings(scenario: Scenario, name: str) -> dict[str, Any]:
    settings: dict[str, Any] = {
        "balancers": scenario.dispatchers,
        "me": scenario.dispatcher_names.index(name),
        "zones": scenario.zone_names,
        "kinds": ["std"],
        "locality": scenario.zone_names.index(scenario.zone_of(name)),
        "classes": _class_settings(scenario),
        "family_info": {
            "tells_start": True,
            "progress": scenario.progress,
            "class_stretch": [job_class.stretch for job_class in scenario.job_classes],
        },
        "policy_limits": {
            "cancel": True,
            "max_attempts": MAX_ATTEMPTS,
            "may_duplicate": False,
            "may_tell": False,
            "retry_after": True,
            "max_retry_after": MAX_RETRY_AFTER_MS,
            "dial_timeout": DIAL_TIMEOUT_MS,
            "conn_idle": CONNECTION_IDLE_MS,
        },
        "rules": {
            "drain_grace": scenario.drain_grace,
            "cold": scenario.cold,
            "start_capacity": scenario.cold_share,
            "fall": scenario.fall,
            "fall_multiple": scenario.fall_multiple,
            "answer_slack": ANSWER_SLACK_MS,
        },
    }
    for key, value in scenario.settings.items():
        settings[key] = {**settings[key], **value} if isinstance(value, Mapping) else value
    return settings


def _class_settings(scenario: Scenario) -> list[dict[str, Any]]:
    return [
        {
            "name": job_class.name,
            "value": job_class.worth,
            "goal_time": job_class.goal,
            "give_up": job_class.deadline,
            "idempotency": job_class.effect,
            "key_scope": "cell",
            "repeat_window": scenario.window,
        }
        for job_class in scenario.job_classes
    ]
