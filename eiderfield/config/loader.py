"""Loads the configuration of a process from a file and the environment.

On the platform, `LB_CONFIG` names a JSON file. A sidecar reads an operator's TOML file with the same keys.
The variables `LB_NAME`, `LB_LISTEN`, `LB_CONSOLE` and `LB_DISCOVERY` have precedence over either; see
`discovery` for what differs when the file is read again.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from eiderfield.batch.settings import BatchSettings
from eiderfield.config.address import Address, parse_address
from eiderfield.config.admission import read_admission
from eiderfield.config.batch import read_batch
from eiderfield.config.connections import read_connections
from eiderfield.config.discovery import read_discovery, require_static_endpoints
from eiderfield.config.errors import ConfigError
from eiderfield.config.limits import read_limits, reserved_descriptors
from eiderfield.config.peers import read_peers
from eiderfield.config.policy import read_policy_settings
from eiderfield.config.reader import TableReader
from eiderfield.connections.settings import AdmissionSettings, IdleSettings
from eiderfield.idmap import stable_number
from eiderfield.interface import Settings
from eiderfield.net.discovery.settings import DiscoverySettings
from eiderfield.net.peer_settings import PeerSettings

if TYPE_CHECKING:
    from eiderfield.durable_requests.settings import DurableRequestSettings

SEED_BYTES = 8
DEFAULT_DIAL_TIMEOUT_MS = 1000.0
DEFAULT_WORKER_IDLE_TIMEOUT_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one dispatcher process.

    `known_endpoints` is an endpoint list that is used until discovery sends one. `source` is what the file
    holds. `is_operator_file` is true for an operator's file, which is accepted or rejected as a whole, and
    false for the platform's.
    """

    name: str
    listen: Address
    console: Address | None
    discovery: DiscoverySettings
    seed: int
    memory_mb: int
    client_connections: int
    worker_connections: int
    known_endpoints: Mapping[str, object] | None
    policy_settings: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    dial_timeout_ms: float
    worker_idle_timeout_ms: float  # after which an idle connection to a worker is closed
    batch: BatchSettings | None
    peers: PeerSettings | None
    idling: IdleSettings
    admission: AdmissionSettings
    durable_requests: DurableRequestSettings | None = None
    source: object = None
    is_operator_file: bool = False


def load(environ: Mapping[str, str], file: str | None = None, reload: bool = False) -> Config:
    """Load the operator's `file` if there is one, else the file that the platform names in `environ`."""
    if file is not None:
        return read_text(_read_file(Path(file), file), environ, reload)
    if "LB_CONFIG" not in environ:
        raise ConfigError("LB_CONFIG is missing, and no file is given", key="LB_CONFIG")
    text = _read_file(Path(environ["LB_CONFIG"]), "LB_CONFIG")
    try:
        data: object = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"LB_CONFIG: {error}", key="LB_CONFIG") from None
    return read(data, environ, reload=reload)


def _read_file(path: Path, name: str) -> str:
    """Return the text of a file, which an error calls `name`: its path, or the variable that gives it."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{name}: {type(error).__name__}", key=name) from None


def read_text(text: str, environ: Mapping[str, str] | None = None, reload: bool = False) -> Config:
    """Return the configuration of an operator's TOML text."""
    try:
        data = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not TOML: {error}") from None
    return read(data, environ or {}, strict=True, reload=reload)


def read(data: object, environ: Mapping[str, str], strict: bool = False, reload: bool = False) -> Config:
    """Return the configuration of what a file holds; `strict` rejects unknown keys.

    Raises:
        ConfigError: A setting is missing or wrong; `source` is `data`.
    """
    try:
        return _read(TableReader(data), data, environ, strict, reload)
    except ConfigError as error:
        error.source = data
        raise


def _read(root: TableReader, data: object, environ: Mapping[str, str], strict: bool, reload: bool) -> Config:
    name = environ.get("LB_NAME") or root.text("name")
    root.mark_known("name")
    listen = _read_address(environ, "LB_LISTEN", root, "listen")
    console = _read_console(environ, root, listen)
    limits = read_limits(
        root.table("limits"), reserved_descriptors(console is not None, root.has("custody")), strict
    )
    settings_table = root.table("settings")
    policy_settings = read_policy_settings(root.raw("settings"))
    policy_limits = settings_table.table("policy_limits")
    discovery = read_discovery(root, environ, reload)
    known_endpoints = _read_known_endpoints(root)
    require_static_endpoints(root, discovery)
    config = Config(
        name=name,
        listen=listen,
        console=console,
        discovery=discovery,
        seed=_seed(root.raw("seed"), name),
        memory_mb=limits.memory_mb,
        client_connections=limits.client_connections,
        worker_connections=limits.worker_connections,
        known_endpoints=known_endpoints,
        policy_settings=policy_settings,
        zones=settings_table.texts("zones", "names"),
        kinds=settings_table.texts("kinds", "names"),
        dial_timeout_ms=policy_limits.number("dial_timeout", DEFAULT_DIAL_TIMEOUT_MS, 1.0),
        worker_idle_timeout_ms=policy_limits.number("conn_idle", DEFAULT_WORKER_IDLE_TIMEOUT_MS, 1.0),
        batch=read_batch(root.table("batch"), limits.memory_mb, strict),
        peers=read_peers(root, policy_settings, strict),
        idling=read_connections(root.table("connections"), strict),
        admission=read_admission(root.table("admission"), strict),
        durable_requests=_read_durable_requests(root, policy_settings),
        source=data,
        is_operator_file=strict,
    )
    if strict:
        root.reject_unknown_keys()
    return config


def _read_address(environ: Mapping[str, str], variable: str, root: TableReader, name: str) -> Address:
    if variable in environ:
        root.mark_known(name)
        return parse_address(environ[variable], variable)
    return root.address(name)


def _read_console(environ: Mapping[str, str], root: TableReader, listen: Address) -> Address | None:
    if "LB_CONSOLE" not in environ and not root.has("console"):
        return None
    console = _read_address(environ, "LB_CONSOLE", root, "console")
    if console == listen:
        raise root.error("console", "is the same address as listen")
    return console


def _read_known_endpoints(root: TableReader) -> Mapping[str, object] | None:
    known = root.raw("known")
    if known is not None and not isinstance(known, Mapping):
        raise root.error("known", "is not a table")
    return known


def _read_durable_requests(root: TableReader, policy_settings: Settings) -> DurableRequestSettings | None:
    if not root.has("custody"):
        return None
    # Imported only where durable requests are on, as all that they need.
    from eiderfield.durable_requests.settings import read as read_durable_requests

    return read_durable_requests(root.table("custody"), policy_settings)


def _seed(value: object, name: str) -> int:
    """Return a seed from the setting, or from the name of the process if there is none."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    return stable_number(str(value) if value is not None else name, SEED_BYTES)
