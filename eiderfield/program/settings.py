"""The configuration in force, and the one that was rejected last."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import replace

from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import Config
from eiderfield.config.source import redact, source_digest
from eiderfield.exchange.errors import FixedSettingError
from eiderfield.exchange.exchange import Exchange
from eiderfield.program.log import log

# Fields that only a new process can change, with their keys in the file.
FIXED = {
    "name": "name",
    "listen": "listen",
    "console": "console",
    "memory_mb": "limits.memory_mb",
    "client_connections": "limits.sockets",
    "worker_connections": "limits.sockets",
    "zones": "settings.zones",
    "kinds": "settings.kinds",
    "batch": "batch",
    "peers": "peers",
    "durable_requests": "custody",
}


class RunningSettings:
    """Holds the configuration in force and decides what of a new one is applied.

    An operator's file is applied as a whole or not at all. Of the platform's file, fields that need a new
    process are ignored and the rest is applied: a new address of discovery must be followed in any case.
    """

    def __init__(self, config: Config, exchange: Exchange) -> None:
        """`exchange` checks which settings of the policy a running process can change."""
        self.current = config
        self._exchange = exchange
        self._generation = 1  # number of configurations applied
        self._refused: dict[str, object] | None = None  # the last one read, if it was rejected

    def take(self, load: Callable[[], Config], apply_known: Callable[[Config], None]) -> bool:
        """Read the configuration again and return whether it was applied.

        `apply_known` may still reject it with a `ValueError`, for the endpoints that it lists.
        """
        source: object = None
        try:
            config = load()
            source = config.source
            config = self._fitting(config)
            apply_known(config)
        except (ConfigError, ValueError) as error:  # a mistake in the file must not end a running process
            self._refuse(error, getattr(error, "source", source) or source)
            return False
        self.current = config
        self._generation += 1
        self._refused = None
        return True

    def report(self) -> dict[str, object]:
        """Return the body of the console's `/-/config`."""
        source = self.current.source
        return {
            "name": self.current.name,
            "pid": os.getpid(),
            "generation": self._generation,
            "digest": source_digest(source),
            "settings": redact(source),
            "refused": self._refused,
        }

    def _refuse(self, error: Exception, source: object) -> None:
        self._refused = {"why": str(error), "digest": source_digest(source), "settings": redact(source)}
        log(f"configuration: rejected (error={error})")

    def _fitting(self, config: Config) -> Config:
        """Return the configuration with fixed fields as they are.

        Raises `ConfigError` if an operator's file changes a fixed field.
        """
        old = self.current
        kept = {name: getattr(old, name) for name in FIXED if getattr(config, name) != getattr(old, name)}
        why = ", ".join(sorted({FIXED[name] for name in kept}))
        why = why and f"{why}: a new value takes effect at the next start alone"
        try:
            self._exchange.check_settings(config.policy_settings)
        except FixedSettingError as error:
            why, kept = why or str(error), {**kept, "policy_settings": old.policy_settings}
        if why and config.is_operator_file:
            raise ConfigError(why)
        if why:
            log(f"configuration: {why}")
        return replace(config, **kept)
