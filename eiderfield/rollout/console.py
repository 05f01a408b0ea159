"""Asks the console of a dispatcher's process for what a controller needs."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any, NamedTuple

from eiderfield.config.address import Address
from eiderfield.rollout.measurement import OUTCOME_FIGURES

TIMEOUT = 1.0  # s for an answer, as the product promises


class ConsoleResponse(NamedTuple):
    """The response of a console."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Which settings a process runs with, by digest, and which ones it refused."""

    pid: int
    digest: str
    refused_digest: str = ""
    refused_reason: str = ""


@dataclass(frozen=True, slots=True)
class ConsoleAnswer:
    """What a console reports of its process."""

    ready: bool
    figures: Mapping[str, Any]  # as `/-/metrics` gives them
    settings: LoadedSettings | None  # None where the program has no `/-/config`


def call_console(address: Address, path: str, method: str = "GET") -> ConsoleResponse:
    """Call a console.

    Raises:
        OSError, HTTPException: it does not answer.
    """
    connection = HTTPConnection(*address, timeout=TIMEOUT)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return ConsoleResponse(response.status, response.read())
    finally:
        connection.close()


def query_console(address: Address) -> ConsoleAnswer | None:
    """Return the report of the console at `address`; None if there is none, or it is malformed."""
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
