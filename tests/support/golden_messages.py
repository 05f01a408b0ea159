"""The handover messages that two earlier revisions wrote.

Those of 731b84e are in `tests/golden/handover`, those of 456c0d9 in `tests/golden/456c0d9/handover`.
"""

import json
from pathlib import Path
from typing import Any

GOLDEN = Path(__file__).parent.parent / "golden" / "handover"
FOLDERS = {"731b84e": GOLDEN, "456c0d9": GOLDEN.parent / "456c0d9" / "handover"}


def recorded(revision: str, name: str) -> tuple[dict[str, Any], int]:
    """Return a message as a revision wrote it, and how many descriptors came with it."""
    told = json.loads((FOLDERS[revision] / f"{name}.json").read_text())
    return told["message"], told["descriptors"]
