"""What a configuration file holds, as the console shows it."""

from __future__ import annotations

import json
from collections.abc import Mapping
from zlib import crc32

SECRET_KEYS = ("token",)


def source_digest(source: object) -> str:
    """Return a digest of a file's content that does not depend on its layout: 8 hexadecimal digits."""
    return f"{crc32(json.dumps(source, sort_keys=True).encode()):08x}"


def redact(source: object) -> object:
    """Return a copy of a file's content in which the values of secret keys are masked."""
    if isinstance(source, Mapping):
        return {key: "***" if key in SECRET_KEYS else redact(value) for key, value in source.items()}
    return [redact(value) for value in source] if isinstance(source, list) else source
