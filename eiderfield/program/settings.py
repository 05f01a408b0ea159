"""The configuration in force, and the one that was refused last."""

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

# What only a new process takes up, with the keys that name it in the log.
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
    """What the process runs with.

    An operator's file is taken whole or not at all. The platform's may name what cannot be changed: the rest
    of it is taken, for a discovery that has moved has to be followed whatever else the file says.
    """

    def __init__(self, config: Config, exchange: Exchange) -> None:
        """`exchange` says which settings of the policy a running process can take."""
        self.current = config
        self._exchange = exchange
        self._generation = 1  # how often a configuration was taken
        self._refused: dict[str, object] | None = None  # the one that was given last, if it was not taken

    def take(self, load: Callable[[], Config], apply_known: Callable[[Config], None]) -> bool:
        """Reads the configuration again; whether it was taken.

        `apply_known` may still refuse it, by a `ValueError`, for the endpoints that it names.
        """
        source: object = None
        try:
            config = load()
            source = config.source
            config = self._fitting(config)
            apply_known(config)
        except (ConfigError, ValueError) as error:  # a slip in the file must not end what runs well
            self._refuse(error, getattr(error, "source", source) or source)
            return False
        self.current = config
        self._generation += 1
        self._refused = None
        return True

    def report(self) -> dict[str, object]:
        """What the console's `/-/config` says."""
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
        log(f"the new configuration is not taken: {error}")

    def _fitting(self, config: Config) -> Config:
        """A configuration as it can be taken; `ConfigError` where it is the operator's and cannot be."""
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
            log(why)
        return replace(config, **kept)
