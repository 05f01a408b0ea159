"""Numbers of names: the same in every process, and different for different names."""

import subprocess
import sys
from pathlib import Path

from eiderfield.idmap import IdMap, stable_number


def test_platform_names_map_to_the_numbers_they_contain():
    """Dispatchers, or the simulator, that number a worker differently would send a key to different homes."""
    assert IdMap().worker("s-1a82eb72") == 0x1A82EB72
    assert IdMap.key_number("7f3a9c21e0b4d655") == 0x7F3A9C21E0B4D655
    assert IdMap.key_number("0" * 16) == 1
    assert IdMap.key_number("") == 0


def test_other_names_get_the_same_number_in_every_process():
    script = "from eiderfield.idmap import stable_number; print(stable_number('node-1/w', 4))"
    root = Path(__file__).parent.parent
    output = subprocess.check_output([sys.executable, "-c", script], cwd=root, text=True)
    assert int(output) == stable_number("node-1/w", 4) < 1 << 32


def test_colliding_names_get_different_numbers():
    ids = IdMap()
    assert ids.worker("s-0000002a") == 42
    assert ids.worker("0000002a") == 43
    assert (ids.worker_name(42), ids.worker_name(43)) == ("s-0000002a", "0000002a")
