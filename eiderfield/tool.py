"""Writes and checks a sidecar's configuration, one file for each application.

python -m eiderfield.tool init --name app --class lookup:safe:aim=250 --worker HOST:PORT > app.toml
python -m eiderfield.tool check app.toml
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass

from eiderfield.config.address import Address
from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import load, read_text

CLASS_HELP = """a class of jobs: NAME:EFFECT[:KEY=VALUE...]. EFFECT is safe (may be repeated freely), keyed
(workers drop a repeat) or unsafe (never repeated once it may have run). Keys: worth, aim and deadline in ms,
stretch; for keyed also scope (all, zone or cell) and window in ms"""

_EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
_NUMBERS = {"worth": 1.0, "aim": 1000.0, "deadline": 10_000.0, "stretch": 0.0, "window": 20_000.0}
_KEYED = {"scope", "window"}


def class_of(text: str) -> dict[str, str | float]:
    """One class from the command line."""
    name, *rest = text.split(":")
    effect, parts = (rest[0], rest[1:]) if rest else ("safe", [])
    if not name or not all(c.isalnum() or c in "-_." for c in name):
        raise ConfigError(f"class {text!r}: the name is not a plain one")
    if effect not in _EFFECTS:
        raise ConfigError(f"class {name}: the effect is not one of {', '.join(_EFFECTS)}: {effect!r}")
    found: dict[str, str | float] = {"name": name, "effect": effect, "scope": "all", **_NUMBERS}
    for part in parts:
        key, _, value = part.partition("=")
        if key not in found or key in ("name", "effect") or (key in _KEYED and effect != "keyed"):
            raise ConfigError(f"class {name}: {key} is not a key of a {effect} class")
        if key == "scope":
            found[key] = value
            continue
        try:
            found[key] = float(value)
        except ValueError:
            raise ConfigError(f"class {name}: {key} is not a number: {value!r}") from None
    return found


@dataclass(frozen=True)
class Draft:
    """What a new configuration is written from."""

    name: str
    listen: str
    classes: Sequence[dict[str, str | float]]
    zones: Sequence[str]
    consul: str = ""
    service: str = ""
    workers: Sequence[str] = ()
    batch: str = ""
    console: str = ""

    def text(self) -> str:
        """The file. TOML's basic strings are written as JSON's."""
        tables = [
            self._head(),
            self._discovery(),
            self._batch(),
            self._settings(),
            *(_class_table(cls) for cls in self.classes),
            self._known(),
        ]
        return "\n\n".join("\n".join(lines) for lines in tables if lines) + "\n"

    def _head(self) -> list[str]:
        lines = [
            f"# eiderfield's sidecar for {json.dumps(self.name)[1:-1]}. Check it after a change:",
            "#   python -m eiderfield.tool check FILE",
            f"name = {json.dumps(self.name)}",
            f"listen = {json.dumps(self.listen)}  # where the application sends its jobs",
        ]
        if self.console:
            lines.append(f"console = {json.dumps(self.console)}  # where operators call")
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
            'api = "health"  # or "catalog", which knows of no checks',
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
        stretches = ", ".join(f"{float(cls['stretch']):g}" for cls in self.classes)
        return [
            "[settings]  # times in milliseconds",
            "balancers = 1  # dispatchers that share these workers",
            f"zones = {json.dumps(list(self.zones))}",
            "locality = 0  # this sidecar's place among them",
            "",
            "[settings.family_info]",
            "tells_start = true  # workers tell when a job starts",
            "progress = 1000  # and how far it is, every so often; 0 for never",
            f"class_stretch = [{stretches}]",
            "",
            "[settings.policy_limits]",
            "max_attempts = 3  # legs of a job at the most",
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

    def _known(self) -> list[str]:
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


def _class_table(cls: dict[str, str | float]) -> list[str]:
    lines = [
        "[[settings.classes]]",
        f"name = {json.dumps(cls['name'])}  # the first part of a job's path",
        f"value = {float(cls['worth']):g}",
        f"goal_time = {float(cls['aim']):g}  # an answer within this is worth the value",
        f"give_up = {float(cls['deadline']):g}",
        f"idempotency = {json.dumps(_EFFECTS[str(cls['effect'])])}",
    ]
    if cls["effect"] == "keyed":
        lines += [f"key_scope = {json.dumps(cls['scope'])}", f"repeat_window = {float(cls['window']):g}"]
    return lines


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="eiderfield.tool", description="Writes and checks configurations.")
    commands = parser.add_subparsers(dest="command", required=True)
    init = commands.add_parser("init", help="writes a configuration to standard output")
    init.add_argument("--name", required=True, help="the application's name")
    init.add_argument("--listen", default="127.0.0.1:8080", metavar="HOST:PORT")
    init.add_argument("--class", dest="classes", action="append", required=True, help=CLASS_HELP)
    source = init.add_mutually_exclusive_group(required=True)
    source.add_argument("--consul", default="", metavar="HOST:PORT", help="workers come from Consul")
    source.add_argument("--worker", dest="workers", action="append", default=[], metavar="HOST:PORT")
    init.add_argument("--zone", dest="zones", action="append", default=[], help="zones, this sidecar's first")
    init.add_argument("--service", default="", help="the workers' service in Consul; the name if not given")
    init.add_argument("--batch", default="", metavar="HOST:PORT", help="opens the batch front there")
    init.add_argument("--console", default="", metavar="HOST:PORT", help="opens the operators' console there")
    check = commands.add_parser("check", help="checks a configuration")
    check.add_argument("file")
    return parser


def _summary(file: str) -> str:
    """One line on a configuration; ConfigError if it is faulty."""
    config = load({}, file)
    return (
        f"{file}: {config.name} listens on {config.listen[0]}:{config.listen[1]}, "
        f"{len(config.policy_settings.classes)} classes, workers from {config.discovery.kind}, "
        f"batch {'on' if config.batch else 'off'}, console {_console_place(config.console)}"
    )


def _console_place(address: Address | None) -> str:
    return "off" if address is None else f"at {address[0]}:{address[1]}"


def _draft(options: argparse.Namespace) -> Draft:
    return Draft(
        name=options.name,
        listen=options.listen,
        classes=[class_of(text) for text in options.classes],
        zones=options.zones or ["here"],
        consul=options.consul,
        service=options.service,
        workers=options.workers,
        batch=options.batch,
        console=options.console,
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the tool; 1 with a line that names the faulty key."""
    options = _parser().parse_args(arguments)
    try:
        if options.command == "check":
            print(_summary(options.file))
            return 0
        text = _draft(options).text()
        read_text(text)  # nothing is written that the program would not take
        sys.stdout.write(text)
    except ConfigError as error:
        print(f"eiderfield: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
