"""A plan of four dispatchers, for tests of the rolling change."""

from eiderfield.rollout.plan import Member, Plan, WatchSettings

NAMES = ("n0", "n1", "n2", "n3")
WATCH = WatchSettings(
    max_duration=60.0, baseline_duration=3.0, warm_up=0.0, ready_timeout=8.0, max_start_attempts=2
)
MEMBERS = tuple(
    Member(name, ("h", 1 + number), "z", ("s",), spare_console=("h", 101 + number))
    for number, name in enumerate(NAMES)
)
PLAN = Plan("p", "new", "", MEMBERS, (("n0",), ("n1", "n2"), ("n3",)), 1, WATCH, "old")
