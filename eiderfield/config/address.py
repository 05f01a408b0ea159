"""Network addresses as the configuration writes them: `host:port`."""

from __future__ import annotations

from eiderfield.config.errors import ConfigError

Address = tuple[str, int]

PORT_COUNT = 2**16


def parse_address(text: str, key: str) -> Address:
    """Return host and port of `host:port`.

    Raises:
        ConfigError: `text` is not an address. `key` is the name of its setting.
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < PORT_COUNT:
        raise ConfigError(f"{key} is not host:port: {text!r}", key=key)
    return host.strip("[]"), int(port)
