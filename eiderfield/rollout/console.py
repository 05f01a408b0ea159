"""Queries the console of a dispatcher process for its readiness, metrics and loaded settings."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from eiderfield.config.address import Address
from eiderfield.rollout.measurement import OUTCOME_FIGURES

TIMEOUT_S = 1.0  # the product promises that a console answers within this time


class ConsoleResponse(NamedTuple):
    """An HTTP response of a console."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """The digests of the settings that a process runs with and of those that it rejected, if any."""

    pid: int
    digest: str
    refused_digest: str = ""
    refused_reason: str = ""


@dataclass(frozen=True, slots=True)
class ConsoleAnswer:
    """The report of a console on its process."""

    ready: bool
    figures: Mapping[str, Any]  # the decoded response of `/-/metrics`
    settings: LoadedSettings | None  # None if the program does not serve `/-/config`


def call_console(address: Address, path: str, method: str = "GET") -> ConsoleResponse:
    """Send an HTTP request to a console and return its response.

    Raises:
        OSError, HTTPException: the console does not answer.
    """
    connection = HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return ConsoleResponse(response.status, response.read())
    finally:
        connection.close()


def query_console(address: Address) -> ConsoleAnswer | None:
    """Return the console's report of its process; None if it does not answer or the answer is malformed."""
    try:
        ready = call_console(address, "/-/ready").status == HTTPStatus.OK
        figures = json.loads(call_console(address, "/-/metrics").body)
        if not all(isinstance(figures[name], dict) for name in OUTCOME_FIGURES):
            return None
        return ConsoleAnswer(ready, figures, _query_settings(address))
    except (OSError, HTTPException, ValueError, LookupError, TypeError):
        return None


def _query_settings(address: Address) -> LoadedSettings | None:
    response = call_console(address, "/-/config")
    if response.status != HTTPStatus.OK:
        return None
    config = json.loads(response.body)
    refused = config.get("refused")
    if refused is None:
        return LoadedSettings(config["pid"], config["digest"])
    return LoadedSettings(config["pid"], config["digest"], refused["digest"], str(refused["why"]))
