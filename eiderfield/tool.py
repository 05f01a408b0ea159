"""Write and check the configuration of a sidecar, one file for each application.

python -m eiderfield.tool init --name app --class lookup:safe:aim=250 --worker HOST:PORT > app.toml
python -m eiderfield.tool check app.toml
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from eiderfield.config.address import Address
from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import load, read_text

CLASS_HELP = """a class of requests: NAME:EFFECT[:KEY=VALUE...]. EFFECT is safe (may be retried freely), keyed
(workers discard a repeat) or unsafe (never retried once it may have run). Keys: worth, aim and deadline in
ms, stretch; for keyed also scope (all, zone or cell) and window in ms"""

IDEMPOTENCY_OF_EFFECT = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
KEYED = "keyed"
DEFAULT_EFFECT = "safe"
DEFAULT_LISTEN = "127.0.0.1:8080"
DEFAULT_ZONE = "here"

# Keys of the command line and the fields that they set.
NUMBER_KEYS = {
    "worth": "priority_weight",
    "aim": "latency_objective_ms",
    "deadline": "deadline_ms",
    "stretch": "objective_stretch",
    "window": "repeat_window_ms",
}
SCOPE_KEY = "scope"
KEYS_OF_KEYED_CLASSES = {SCOPE_KEY, "window"}


@dataclass(frozen=True, slots=True)
class ClassOptions:
    """One class of requests as the command line gives it; `effect` is a key of `IDEMPOTENCY_OF_EFFECT`."""

    name: str
    effect: str
    priority_weight: float = 1.0
    latency_objective_ms: float = 1000.0
    deadline_ms: float = 10_000.0
    objective_stretch: float = 0.0
    scope: str = "all"
    repeat_window_ms: float = 20_000.0


def parse_class(text: str) -> ClassOptions:
    """Return the class of a `--class` option; raise `ConfigError` for what is malformed."""
    name, *words = text.split(":")
    effect, assignments = (words[0], words[1:]) if words else (DEFAULT_EFFECT, [])
    if not name or not all(char.isalnum() or char in "-_." for char in name):
        raise ConfigError(f"class {text!r}: the name is not a plain one")
    if effect not in IDEMPOTENCY_OF_EFFECT:
        raise ConfigError(
            f"class {name}: the effect is not one of {', '.join(IDEMPOTENCY_OF_EFFECT)}: {effect!r}"
        )
    options = ClassOptions(name, effect)
    for assignment in assignments:
        key, _, value = assignment.partition("=")
        options = _set_class_option(options, key, value)
    return options


def _set_class_option(options: ClassOptions, key: str, value: str) -> ClassOptions:
    is_known = key in NUMBER_KEYS or key == SCOPE_KEY
    if not is_known or (key in KEYS_OF_KEYED_CLASSES and options.effect != KEYED):
        raise ConfigError(f"class {options.name}: {key} is not a key of a {options.effect} class", key=key)
    if key == SCOPE_KEY:
        return replace(options, scope=value)
    try:
        change: dict[str, Any] = {NUMBER_KEYS[key]: float(value)}
    except ValueError:
        raise ConfigError(f"class {options.name}: {key} is not a number: {value!r}", key=key) from None
    return replace(options, **change)


@dataclass(frozen=True, slots=True)
class Draft:
    """Contents of a new configuration file. Addresses are `host:port`, empty for what is off."""

    name: str
    listen: str
    classes: Sequence[ClassOptions]
    zones: Sequence[str]
    consul: str = ""
    service: str = ""
    workers: Sequence[str] = ()
    batch: str = ""
    console: str = ""

    def text(self) -> str:
        """Return the file. Basic strings of TOML are written as those of JSON."""
        tables = [
            self._head(),
            self._discovery(),
            self._batch(),
            self._settings(),
            *(_class_table(options) for options in self.classes),
            self._known_endpoints(),
        ]
        return "\n\n".join("\n".join(lines) for lines in tables if lines) + "\n"

    def _head(self) -> list[str]:
        lines = [
            f"# Sidecar of {json.dumps(self.name)[1:-1]}. Check this file after a change:",
            "#   python -m eiderfield.tool check FILE",
            f"name = {json.dumps(self.name)}",
            f"listen = {json.dumps(self.listen)}  # where the application sends its requests",
        ]
        if self.console:
            lines.append(f"console = {json.dumps(self.console)}  # for operators")
        return [
            *lines,
            "",
            "[limits]",
            "sockets = 1024  # file descriptors in all",
            "memory_mb = 192",
        ]

    def _discovery(self) -> list[str]:
        if not self.consul:
            return ["[discovery]", 'kind = "static"  # the workers are those of [known]']
        return [
            "[discovery]",
            'kind = "consul"',
            f"address = {json.dumps(self.consul)}",
            f"service = {json.dumps(self.service or self.name)}",
            'api = "health"  # or "catalog", which knows no health checks',
            "wait_ms = 30000  # how long a blocking query may wait",
        ]

    def _batch(self) -> list[str]:
        if not self.batch:
            return []
        return [
            "[batch]",
            "enabled = true",
            f"listen = {json.dumps(self.batch)}",
            "jobs_most = 20000",
            "finished_most = 20000",
            "finished_age_ms = 3600000",
            "memory_mb = 32  # for bodies and results",
        ]

    def _settings(self) -> list[str]:
        stretches = ", ".join(f"{options.objective_stretch:g}" for options in self.classes)
        return [
            "[settings]  # times in milliseconds",
            "balancers = 1  # dispatchers that share these workers",
            f"zones = {json.dumps(list(self.zones))}",
            "locality = 0  # index of the sidecar's zone",
            "",
            "[settings.family_info]",
            "tells_start = true  # workers report when a request starts",
            "progress = 1000  # interval of their progress reports, 0 for none",
            f"class_stretch = [{stretches}]",
            "",
            "[settings.policy_limits]",
            "max_attempts = 3  # of one request",
            "cancel = true",
            "retry_after = true",
            "max_retry_after = 2000",
            "dial_timeout = 1000",
            "conn_idle = 10000  # after which workers close an idle connection",
            "",
            "[settings.rules]",
            "answer_slack = 10",
            "drain_grace = 500",
            "fall = 1500",
            "fall_multiple = 2",
            "cold = 5000  # how long a worker takes to warm up",
            "start_capacity = 0.5",
        ]

    def _known_endpoints(self) -> list[str]:
        if self.consul:
            return []
        lines = ["[known]", "index = 1", "snapshot = true"]
        for number, worker in enumerate(self.workers, 1):
            lines += [
                "",
                "[[known.endpoints]]",
                f'name = "w{number}"',
                f"address = {json.dumps(worker)}",
                f"zone = {json.dumps(self.zones[0])}",
                'status = "SERVING"',
                "since_ms = 0",
            ]
        return lines


def _class_table(options: ClassOptions) -> list[str]:
    lines = [
        "[[settings.classes]]",
        f"name = {json.dumps(options.name)}  # the first part of a request's path",
        f"value = {options.priority_weight:g}",
        f"goal_time = {options.latency_objective_ms:g}  # an answer within this counts the whole value",
        f"give_up = {options.deadline_ms:g}",
        f"idempotency = {json.dumps(IDEMPOTENCY_OF_EFFECT[options.effect])}",
    ]
    if options.effect == KEYED:
        lines += [
            f"key_scope = {json.dumps(options.scope)}",
            f"repeat_window = {options.repeat_window_ms:g}",
        ]
    return lines


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="eiderfield.tool", description="Write and check configurations.")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_init(commands.add_parser("init", help="write a configuration to standard output"))
    check = commands.add_parser("check", help="check a configuration")
    check.add_argument("file")
    return parser


def _add_init(init: argparse.ArgumentParser) -> None:
    init.add_argument("--name", required=True, help="name of the application")
    init.add_argument("--listen", default=DEFAULT_LISTEN, metavar="HOST:PORT")
    init.add_argument("--class", dest="classes", action="append", required=True, help=CLASS_HELP)
    source = init.add_mutually_exclusive_group(required=True)
    source.add_argument("--consul", default="", metavar="HOST:PORT", help="take the workers from Consul")
    source.add_argument("--worker", dest="workers", action="append", default=[], metavar="HOST:PORT")
    init.add_argument(
        "--zone", dest="zones", action="append", default=[], help="a zone, the sidecar's own first"
    )
    init.add_argument("--service", default="", help="service of the workers in Consul; default: the name")
    init.add_argument("--batch", default="", metavar="HOST:PORT", help="accept batch jobs there")
    init.add_argument(
        "--console", default="", metavar="HOST:PORT", help="open the console for operators there"
    )


def _draft(options: argparse.Namespace) -> Draft:
    return Draft(
        name=options.name,
        listen=options.listen,
        classes=[parse_class(text) for text in options.classes],
        zones=options.zones or [DEFAULT_ZONE],
        consul=options.consul,
        service=options.service,
        workers=options.workers,
        batch=options.batch,
        console=options.console,
    )


def _summary(file: str) -> str:
    """Return one line on a configuration; raise `ConfigError` if it is faulty."""
    config = load({}, file)
    return (
        f"{file}: {config.name} listens on {_host_and_port(config.listen)}, "
        f"{len(config.policy_settings.classes)} classes, workers from {config.discovery.kind}, "
        f"batch {'on' if config.batch else 'off'}, "
        f"console {'off' if config.console is None else f'at {_host_and_port(config.console)}'}"
    )


def _host_and_port(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; return 1 after one line that names a faulty key."""
    options = _parser().parse_args(arguments)
    try:
        if options.command == "check":
            print(_summary(options.file))
            return 0
        text = _draft(options).text()
        read_text(text)  # what the dispatcher would refuse is not written
        sys.stdout.write(text)
    except ConfigError as error:
        print(f"eiderfield: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
