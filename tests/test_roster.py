"""The roster of parked connections against a plain dictionary."""

from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderfield.crowd.roster import SPAN, Roster

KEYS = st.integers(0, 30)
STEP = st.one_of(
    st.tuples(st.just("join"), KEYS, st.floats(0.0, 20.0 * SPAN)),
    st.tuples(st.just("leave"), KEYS, st.none()),
    st.tuples(st.just("ended"), st.integers(1, 5), st.floats(0.0, 30.0 * SPAN)),
)


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(st.lists(STEP, max_size=60), st.sampled_from([0.0, 3.5 * SPAN, 300.0 * SPAN]))
def test_the_roster_is_a_dictionary_with_a_hand_over_its_seconds(steps, keep):
    roster, model = Roster(), {}
    for what, key, value in steps:
        if what == "join" and key in model:
            with pytest.raises(ValueError):
                roster.join(key, value)
        elif what == "join":
            roster.join(key, value, key * 7)
            model[key] = value
        elif what == "leave" and key in model:
            assert roster.leave(key) == (model.pop(key), key * 7)
        elif what == "leave":
            with pytest.raises(KeyError):
                roster.leave(key)
        elif what == "ended":
            over = {k for k, since in model.items() if (since // SPAN + 1) * SPAN + keep <= value}
            found = roster.ended(value, keep, key)
            assert len(found) == len(set(found)) == min(key, len(over)) and set(found) <= over
        assert len(roster) == len(model) and all((k in roster) == (k in model) for k in range(31))
        first = min(model.values(), default=inf)
        assert roster.ends_at(keep) == (inf if first == inf else (first // SPAN + 1) * SPAN + keep)
    found = roster.some(99)
    assert set(found) == set(model)
    seconds = [model[key] // SPAN for key in found]
    assert seconds == sorted(seconds), "the eldest first"


def test_a_negative_descriptor_is_refused():
    with pytest.raises(ValueError):
        Roster().join(-1, 0.0)


def test_an_entry_is_a_few_bytes():
    roster = Roster()
    for key in range(20_000):
        roster.join(key, float(key))
    arrays = (roster._since, roster._mark, roster._next, roster._before)
    assert sum(a.itemsize * len(a) for a in arrays) < 24 * 20_000
