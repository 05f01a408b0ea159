"""The table of idle connections against a plain dictionary."""

from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderfield.connections.idle_table import BUCKET_MS, IdleTable

KEYS = st.integers(0, 30)
STEP = st.one_of(
    st.tuples(st.just("add"), KEYS, st.floats(0.0, 20.0 * BUCKET_MS)),
    st.tuples(st.just("remove"), KEYS, st.none()),
    st.tuples(st.just("expired"), st.integers(1, 5), st.floats(0.0, 30.0 * BUCKET_MS)),
)


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(st.lists(STEP, max_size=60), st.sampled_from([0.0, 3.5 * BUCKET_MS, 300.0 * BUCKET_MS]))
def test_idle_table_random_steps_equals_a_dictionary(steps, keep):
    table, model = IdleTable(), {}
    for what, key, value in steps:
        if what == "add" and key in model:
            with pytest.raises(ValueError, match=str(key)):
                table.add(key, value)
        elif what == "add":
            table.add(key, value, key * 7)
            model[key] = value
        elif what == "remove" and key in model:
            assert table.remove(key) == (model.pop(key), key * 7)
        elif what == "remove":
            with pytest.raises(KeyError):
                table.remove(key)
        elif what == "expired":
            over = {k for k, since in model.items() if (since // BUCKET_MS + 1) * BUCKET_MS + keep <= value}
            found = table.expired(value, keep, key)
            assert len(found) == len(set(found)) == min(key, len(over))
            assert set(found) <= over
        assert len(table) == len(model)
        assert all((k in table) == (k in model) for k in range(31))
        first = min(model.values(), default=inf)
        assert table.next_expiry(keep) == (
            inf if first == inf else (first // BUCKET_MS + 1) * BUCKET_MS + keep
        )
    found = table.longest_idle(99)
    assert set(found) == set(model)
    seconds = [model[key] // BUCKET_MS for key in found]
    assert seconds == sorted(seconds), "the eldest first"


def test_idle_table_negative_descriptor_raises():
    with pytest.raises(ValueError, match="-1"):
        IdleTable().add(-1, 0.0)


def test_idle_table_entry_takes_few_bytes():
    table = IdleTable()
    for key in range(20_000):
        table.add(key, float(key))
    assert table.array_bytes < 24 * 20_000
