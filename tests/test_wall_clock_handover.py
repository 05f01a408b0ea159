"""The ages of the times in a handover do not change if the wall clock is stepped during it."""

import pytest
from support.handover import LISTEN
from support.policy import learn
from support.wall_clock import COLD, HOUR, STEPS, Takeover, passed_on, steps

from eiderfield.net.handover.messages import ConnectionPassed, ParkedBatch


@pytest.fixture(params=STEPS)
def takeover(request):
    return Takeover(request.param)


def test_learned_state_handed_over_after_step_keeps_its_age(takeover):
    """With wrong ages a pacer would wait an hour, or a worker in slow start would be sent its work twice."""
    old = takeover.old.dispatcher
    old.advance(500.0)
    module = old.exchange.dispatcher
    module.pacers[0].rate, module.pacers[0].next_release_at = 4.0, old.now + 250.0
    learn(module, served_rate=0.5, served_at=old.now - 100.0)
    module.workers[old.ids.worker("slow")].recent_sends.append((old.now - 30.0, 80.0))
    successor = takeover.go().module()
    assert takeover.age(successor.pacers[0].next_release_at) == pytest.approx(-250.0)
    assert takeover.age(successor.learned_state().served_at) == pytest.approx(100.0)
    assert successor.learned_state().served_rate == 0.5
    [(at, work)] = successor.workers[old.ids.worker("slow")].recent_sends
    assert takeover.age(at) == pytest.approx(30.0)
    assert work == 80.0


def test_slow_start_handed_over_after_step_keeps_its_age(takeover):
    takeover.old.dispatcher.advance(3000.0)
    successor = takeover.go().module()
    worker = successor.workers[takeover.old.dispatcher.ids.worker("slow")]
    assert takeover.age(worker.entry.ready_at) == pytest.approx(3000.0)
    takeover.new.dispatcher.table.load(takeover.list)
    takeover.new.dispatcher.settle()
    assert takeover.age(worker.entry.ready_at) == pytest.approx(3000.0), (
        "the list of discovery changed the age"
    )


def test_start_announced_after_step_and_handover_is_not_dated_before_last_source_contact():
    """The old process was in contact with the source a moment ago, so that the start must be recent."""
    takeover = Takeover(HOUR)
    takeover.old.dispatcher.table.start_times.record_source_contact()
    since = takeover.wall()
    takeover.old.dispatcher.advance(500.0)
    new = takeover.go().new.dispatcher
    endpoint = {"name": "new", "address": "127.0.0.1:3", "status": "SERVING", "since_ms": since}
    new.table.load({"index": 5, "snapshot": False, "endpoints": [endpoint]})
    new.settle()
    entry = takeover.module().workers[new.ids.worker("new")].entry
    assert entry.ready_at == new.now


def test_ban_handed_over_after_step_keeps_its_age(takeover):
    old = takeover.old.dispatcher
    old.advance(1000.0)
    old.table.ban("banned")
    old.advance(1000.0)
    new = takeover.go().new.dispatcher
    assert takeover.age(new.table.bans.since["banned"]) == pytest.approx(1000.0)
    new.advance(COLD)
    new.table.unban("banned")
    new.settle()
    entry = takeover.module().workers[new.ids.worker("banned")].entry
    assert entry.ready_at == new.now, "the worker may have been restarted during its ban"


def test_lifted_ban_handed_over_after_step_keeps_its_age(takeover):
    old = takeover.old.dispatcher
    old.advance(1000.0)
    old.table.ban("banned")
    old.advance(500.0)
    old.table.unban("banned")
    old.advance(200.0)
    new = takeover.go().new.dispatcher
    entry = takeover.module().workers[new.ids.worker("banned")].entry
    assert takeover.age(entry.ready_at) == pytest.approx(200.0)


def test_ban_during_handover_is_sent_with_its_age(takeover):
    takeover.go()
    takeover.old.dispatcher.table.ban("slow")
    takeover.new.dispatcher.table.ban("banned")
    takeover.talk()
    assert takeover.age(takeover.new.dispatcher.table.bans.since["slow"]) == pytest.approx(0.0)
    since = takeover.old.dispatcher.table.bans.since["banned"]
    assert takeover.old.dispatcher.now - since == pytest.approx(0.0)


@steps
def test_connections_passed_after_step_keep_their_age(step):
    """With wrong ages all connections would be closed at once, or be kept idle for an hour."""
    batch, now = passed_on(ParkedBatch(LISTEN, (5e6 - 9000.0, 5e6), (), {}), step)
    assert batch.since == pytest.approx((now - 9000.0, now))
    partial_request, now = passed_on(ConnectionPassed(LISTEN, True, 5e6 - 2000.0, b"POST", {}), step)
    assert partial_request.since == pytest.approx(now - 2000.0), "0.8 s of its timeout must remain"


@steps
def test_future_time_in_message_is_converted_to_now(step):
    batch, now = passed_on(ParkedBatch(LISTEN, (5e6 + HOUR,), (), {}), step)
    assert batch.since == (now,)
