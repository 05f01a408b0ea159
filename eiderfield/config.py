"""The one place where the configuration is read, checked and given its defaults. Errors name the faulty key.

A dispatcher on the platform is told by LB_* and the JSON file that LB_CONFIG names; a sidecar reads the
operator's TOML file, which holds the same under the same names. LB_* win over either, but when the file is
read again the address of discovery is that of the file, for the environment is as old as the process.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING
from zlib import crc32

from eiderfield.connections.settings import KEEP, PARK_AFTER, WHOLE, Admission, Idling, Marks, Pace, Quota
from eiderfield.idmap import number_of, plain
from eiderfield.interface import Settings
from eiderfield.settings_table import Address as Address
from eiderfield.settings_table import ConfigError as ConfigError
from eiderfield.settings_table import Tree as Tree
from eiderfield.settings_table import address_of as address_of
from eiderfield.wire import parse_settings

if TYPE_CHECKING:
    from eiderfield.durable_requests.settings import DurableRequestSettings

RESERVED = 40  # descriptors for the loop, the listeners, discovery, the log and what is about to close
LEAST_MB = 24  # memory that the program can live on: 13 MB at rest, 16 with a crowd at its listener
CONSOLE = 16  # descriptors kept for the console's callers, which no client can take
CUSTODY = 32  # descriptors for the stores of work in hand, its own and those of others
WORKER_SHARE = 0.4  # of the rest, for connections to workers, where nothing is said


SECRET = ("token",)  # keys whose values are shown to nobody


def digest_of(told: object) -> str:
    """Names what a file holds, whatever its layout: 8 hexadecimal digits."""
    return f"{crc32(json.dumps(told, sort_keys=True).encode()):08x}"


def shown(told: object) -> object:
    """What a file holds, without what nobody is to see."""
    if isinstance(told, Mapping):
        return {key: "***" if key in SECRET else shown(value) for key, value in told.items()}
    return [shown(value) for value in told] if isinstance(told, list) else told


@dataclass(frozen=True, slots=True)
class BatchConfig:
    """The batch front."""

    listen: Address
    finished_most: int
    finished_age: float  # ms
    jobs_most: int
    bytes_most: int


@dataclass(frozen=True, slots=True)
class PeerConfig:
    """Where the dispatchers of the tier reach each other, in the order of their numbers (`settings.me`)."""

    listen: Address
    peers: tuple[Address, ...]
    everyone: Address | None


@dataclass(frozen=True, slots=True)
class Discovery:
    """Where the routing table comes from: `platform`, `consul`, or `static` for the known list alone."""

    kind: str
    address: Address | None
    service: str = ""
    api: str = "health"
    token: str = ""
    wait: float = 30_000.0  # ms that a blocking query may wait


@dataclass(frozen=True, slots=True)
class Config:
    """All that the program is told."""

    name: str
    listen: Address
    console: Address | None
    discovery: Discovery
    seed: int
    memory_mb: int
    client_connections: int
    worker_connections: int
    known: Mapping[str, object] | None
    site: Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    dial_timeout: float
    conn_idle: float
    batch: BatchConfig | None
    peers: PeerConfig | None
    idling: Idling
    admission: Admission
    custody: DurableRequestSettings | None = None
    told: object = None  # what the file holds, for the console
    strict: bool = False  # an operator's own file: taken whole, or refused whole


def flatten(value: object, at: str = "") -> list[str]:
    """Nested settings as the `path=value` lines that the simulator's wire knows."""
    if isinstance(value, Mapping):
        dot = f"{at}." if at else ""
        return [line for name, inner in value.items() for line in flatten(inner, f"{dot}{name}")]
    if isinstance(value, list):
        if any(isinstance(inner, Mapping | list) for inner in value):
            lines = [f"{at}.count={len(value)}"]
            for number, inner in enumerate(value):
                lines += flatten(inner, f"{at}.{number}")
            return lines
        return [f"{at}={','.join(_plain(inner) for inner in value)}"]
    return [f"{at}={_plain(value)}"]


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else plain(str(value))


def site_of(settings: object) -> Settings:
    """The module's settings."""
    lines = flatten(settings)
    try:
        return parse_settings("\n".join(lines))
    except ValueError as error:
        raise ConfigError(str(error).replace("setting ", "settings.", 1)) from None


def load(environ: Mapping[str, str], file: str | None = None, again: bool = False) -> Config:
    """The configuration of a process: the operator's file if one is given, else what the platform tells."""
    if file is None and "LB_CONFIG" not in environ:
        raise ConfigError("LB_CONFIG is missing, and no file is given")
    path = Path(file if file is not None else environ["LB_CONFIG"])
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{'LB_CONFIG' if file is None else path}: {type(error).__name__}") from None
    if file is not None:
        return read_text(text, environ, again)
    try:
        data: object = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    return read(data, environ, again=again)


def read_text(text: str, environ: Mapping[str, str] | None = None, again: bool = False) -> Config:
    """The configuration from an operator's TOML text."""
    try:
        data = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not TOML: {error}") from None
    return read(data, environ or {}, strict=True, again=again)


def read(data: object, environ: Mapping[str, str], strict: bool = False, again: bool = False) -> Config:
    """The configuration from what a file holds. `strict` rejects unknown keys, as by a slip of the pen."""
    try:
        return _read(data, environ, strict, again)
    except ConfigError as error:
        error.told = data
        raise


def _read(data: object, environ: Mapping[str, str], strict: bool, again: bool) -> Config:
    tree = Tree(data)
    name = environ.get("LB_NAME") or tree.text("name")
    tree.has("name")
    listen = _address(environ, "LB_LISTEN", tree, "listen")
    console = None
    if "LB_CONSOLE" in environ or tree.has("console"):
        console = _address(environ, "LB_CONSOLE", tree, "console")
        if console == listen:
            raise ConfigError("console is the same address as listen")
    limits = tree.table("limits")
    least = 64 + (CONSOLE if console is not None else 0) + (CUSTODY if tree.has("custody") else 0)
    sockets = limits.whole("sockets", 1024, least)
    memory_mb = limits.whole("memory_mb", 192, LEAST_MB)
    limits.number("cores", 1.0, 0.01)
    settings = tree.table("settings")
    raw = tree.raw("settings")
    site = site_of(raw)
    policy = settings.table("policy_limits")
    discovery = _discovery(tree, environ, again)
    known = tree.raw("known")
    if known is not None and not isinstance(known, Mapping):
        raise ConfigError("known is not a table")
    if discovery.kind == "static" and known is None:
        raise ConfigError('known is missing: with discovery.kind = "static" it is the routing table')
    batch = _batch(tree.table("batch"), memory_mb, strict)
    peers = _peers(tree, site, strict)
    idling = _idling(tree.table("connections"), strict)
    admission = _admission(tree.table("admission"), strict)
    custody = None
    if tree.has("custody"):  # what it needs is imported only where it is on
        from eiderfield.durable_requests.settings import read as read_custody

        custody = read_custody(tree.table("custody"), site)
    taken = (CONSOLE if console is not None else 0) + (CUSTODY if custody is not None else 0)
    free = sockets - RESERVED - taken
    worker_connections = int(free * limits.number("worker_share", WORKER_SHARE, 0.01, 0.9))
    seed = tree.raw("seed")
    if strict:
        limits.nothing_else()
        tree.nothing_else()
    return Config(
        name=name,
        listen=listen,
        console=console,
        discovery=discovery,
        seed=_seed(seed, name),
        memory_mb=memory_mb,
        client_connections=free - worker_connections,
        worker_connections=worker_connections,
        known=known,
        site=site,
        zones=_names(settings, "zones"),
        kinds=_names(settings, "kinds"),
        dial_timeout=policy.number("dial_timeout", 1000.0, 1.0),
        conn_idle=policy.number("conn_idle", 10_000.0, 1.0),
        batch=batch,
        peers=peers,
        idling=idling,
        admission=admission,
        custody=custody,
        told=data,
        strict=strict,
    )


def _address(environ: Mapping[str, str], variable: str, tree: Tree, name: str) -> Address:
    if variable in environ:
        tree.has(name)
        return address_of(environ[variable], variable)
    return tree.address(name)


def _discovery(tree: Tree, environ: Mapping[str, str], again: bool) -> Discovery:
    raw = tree.raw("discovery")
    if "LB_DISCOVERY" in environ and not (again and raw is not None):
        return Discovery("platform", address_of(environ["LB_DISCOVERY"], "LB_DISCOVERY"))
    if isinstance(raw, str):
        return Discovery("platform", address_of(raw, "discovery"))
    if raw is None:
        raise ConfigError("discovery is missing")
    told = tree.table("discovery")
    kind = told.text("kind")
    if kind not in ("platform", "consul", "static"):
        raise ConfigError(f"discovery.kind is not one of platform, consul, static: {kind!r}")
    found = Discovery(
        kind,
        None if kind == "static" else told.address("address"),
        told.text("service") if kind == "consul" else "",
        told.text("api", "health") if kind == "consul" else "",
        told.text("token", "") if kind == "consul" else "",
        told.number("wait_ms", 30_000.0, 100.0, 600_000.0) if kind == "consul" else 0.0,
    )
    if kind == "consul" and found.api not in ("health", "catalog"):
        raise ConfigError(f"discovery.api is not one of health, catalog: {found.api!r}")
    told.nothing_else()
    return found


def _batch(told: Tree, memory_mb: int, strict: bool) -> BatchConfig | None:
    if not told.flag("enabled", False):
        return None
    found = BatchConfig(
        told.address("listen"),
        told.whole("finished_most", 20_000, 1, 1_000_000),
        told.number("finished_age_ms", 3_600_000.0, 1.0),
        told.whole("jobs_most", 20_000, 1, 1_000_000),
        told.whole("memory_mb", 32, 1, memory_mb) * 1024 * 1024,
    )
    if strict:
        told.nothing_else()
    return found


def _peers(tree: Tree, site: Settings, strict: bool) -> PeerConfig | None:
    if not (tree.has("peer_listen") or tree.has("peers") or tree.has("peers_all")):
        return None
    if not site.gossip_allowed:  # the platform may name them where it forbids to use them
        if strict:
            raise ConfigError("peer_listen says nothing: settings.policy_limits.may_tell is not true")
        return None
    listen, raw = tree.address("peer_listen"), tree.raw("peers")
    if not isinstance(raw, list) or not all(isinstance(text, str) for text in raw):
        raise ConfigError("peers is not a list of host:port")
    peers = tuple(address_of(text, f"peers.{number}") for number, text in enumerate(raw))
    if len(peers) != site.dispatcher_count:
        raise ConfigError(f"peers names {len(peers)} dispatchers, settings.balancers {site.dispatcher_count}")
    if len(set(peers)) != len(peers):
        raise ConfigError("peers names one address twice: nobody could tell who speaks")
    return PeerConfig(listen, peers, tree.address("peers_all") if tree.has("peers_all") else None)


def _idling(told: Tree, strict: bool) -> Idling:
    keep = told.number("keep_ms", KEEP, 1000.0, 86_400_000.0)
    park = told.flag("park", True)
    after = told.number("park_after_ms", PARK_AFTER, 10.0, 86_400_000.0)
    # Copies count twice where the descriptors of both processes are counted together, as on the platform.
    copies = told.flag("copies", strict)
    if strict:
        told.nothing_else()
        if park and told.has("park_after_ms") and after >= keep:
            raise ConfigError(f"{told.key('park_after_ms')} is not below keep_ms: nothing would ever park")
    return Idling(keep, after if park else inf, copies)


def _admission(told: Tree, strict: bool) -> Admission:
    usual = Admission()
    address, prefix = (_quota(told.table(name), strict) for name in ("address", "prefix"))
    for key in ("held", "begun", "rate"):
        if getattr(prefix, key) < getattr(address, key):
            raise ConfigError(f"{told.key('prefix')}.{key} is below that of one address of the prefix")
    found = Admission(
        address,
        prefix,
        told.whole("prefix_v4", usual.prefix_v4, 1, 32),
        told.whole("prefix_v6", usual.prefix_v6, 1, 64),
        _marks(told.table("descriptors"), usual.descriptors, strict),
        _marks(told.table("memory"), usual.memory, strict),
        told.number("crowded_share", usual.crowded_share, 0.001, 1.0),
        told.number("keep_crowded_ms", inf, 1000.0),
        told.number("hold_ms", usual.hold, 0.0, 600_000.0),
        told.number("retry_after_ms", usual.retry_after, 1.0, 600_000.0),
        _pace(told.table("pace"), strict),
    )
    if strict:
        told.nothing_else()
    return found


def _quota(told: Tree, strict: bool) -> Quota:
    rate = told.number("rate", inf, 0.01)
    burst = told.number("burst", 1.0 if rate == inf else max(1.0, rate), 1.0)
    if strict and told.has("burst") and rate == inf:
        raise ConfigError(f"{told.key('burst')} says nothing without {told.key('rate')}")
    found = Quota(told.number("held", inf, 1.0), told.number("begun", inf, 1.0), rate, burst)
    if strict:
        told.nothing_else()
    return found


def _marks(told: Tree, usual: Marks, strict: bool) -> Marks:
    found = Marks(told.number("high", usual.high, 0.01, 1.0), told.number("low", usual.low, 0.0, 1.0))
    if found.low >= found.high:
        raise ConfigError(f"{told.key('low')} is not below high: the house would flap")
    if strict:
        told.nothing_else()
    return found


def _pace(told: Tree, strict: bool) -> Pace:
    whole = told.number("whole_ms", WHOLE, 100.0, WHOLE)
    head = told.number("head_ms", whole, 50.0, whole)
    found = Pace(
        whole,
        head,
        told.number("body_rate", 0.0, 0.0),
        told.number("body_grace_ms", 1000.0, 0.0, whole),
        told.number("head_crowded_ms", head, 50.0, head),
    )
    if strict:
        told.nothing_else()
    return found


def _names(settings: Tree, name: str) -> tuple[str, ...]:
    raw = settings.raw(name)
    if raw is None:
        return ()
    if not isinstance(raw, list) or not all(isinstance(word, str) for word in raw):
        raise ConfigError(f"{settings.key(name)} is not a list of names")
    return tuple(raw)


def _seed(raw: object, name: str) -> int:
    if isinstance(raw, int) and not isinstance(raw, bool):
        return raw
    return number_of(str(raw) if raw is not None else name, 8)
