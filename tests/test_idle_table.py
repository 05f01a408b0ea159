"""The table of idle connections, compared with a dictionary."""

from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderfield.connections.idle_table import BUCKET_MS, IdleTable

DESCRIPTORS = st.integers(0, 30)
STEP = st.one_of(
    st.tuples(st.just("add"), DESCRIPTORS, st.floats(0.0, 20.0 * BUCKET_MS)),
    st.tuples(st.just("remove"), DESCRIPTORS, st.none()),
    st.tuples(st.just("expired"), st.integers(1, 5), st.floats(0.0, 30.0 * BUCKET_MS)),
)


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(st.lists(STEP, max_size=60), st.sampled_from([0.0, 3.5 * BUCKET_MS, 300.0 * BUCKET_MS]))
def test_idle_table_random_steps_equals_a_dictionary(steps, idle_timeout):
    table, model = IdleTable(), {}
    for action, number, value in steps:  # the number is a descriptor, or the limit of `expired`
        if action == "add" and number in model:
            with pytest.raises(ValueError, match=str(number)):
                table.add(number, value)
        elif action == "add":
            table.add(number, value, number * 7)
            model[number] = value
        elif action == "remove" and number in model:
            assert table.remove(number) == (model.pop(number), number * 7)
        elif action == "remove":
            with pytest.raises(KeyError):
                table.remove(number)
        elif action == "expired":
            expired = {
                k
                for k, since in model.items()
                if (since // BUCKET_MS + 1) * BUCKET_MS + idle_timeout <= value
            }
            found = table.expired(value, idle_timeout, number)
            assert len(found) == len(set(found)) == min(number, len(expired))
            assert set(found) <= expired
        assert len(table) == len(model)
        assert all((k in table) == (k in model) for k in range(31))
        first = min(model.values(), default=inf)
        assert table.next_expiry(idle_timeout) == (
            inf if first == inf else (first // BUCKET_MS + 1) * BUCKET_MS + idle_timeout
        )
    found = table.longest_idle(99)
    assert set(found) == set(model)
    seconds = [model[descriptor] // BUCKET_MS for descriptor in found]
    assert seconds == sorted(seconds), "the longest idle first"


def test_idle_table_negative_descriptor_raises():
    with pytest.raises(ValueError, match="-1"):
        IdleTable().add(-1, 0.0)


def test_idle_table_entry_takes_few_bytes():
    table = IdleTable()
    for descriptor in range(20_000):
        table.add(descriptor, float(descriptor))
    assert table.array_bytes < 24 * 20_000
