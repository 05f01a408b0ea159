"""The same tests of the policy and of the network code for every deployment of the table."""

from __future__ import annotations

import random
from dataclasses import replace
from math import inf

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from support.deployments import DEPLOYMENTS, WORKERS
from support.memory_dispatcher import InMemoryDispatcher
from support.policy import Node, learn
from support.random_events import EventPlayer, RuleBrokenError

from eiderfield.exchange import exchange as core
from eiderfield.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    CloseIdleConnections,
    Effect,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    Outcome,
    PeerReportReceived,
    ProbeWorker,
    RejectRequest,
    RequestReceived,
    SendPeerReport,
    SetTimer,
    StartAttempt,
    Tenant,
    WatchEndpoints,
    encode_peer_report,
)
from eiderfield.model.learned_state import KindSlots
from eiderfield.policy.slow_start import SlowStart

NAMES = list(DEPLOYMENTS)


@pytest.mark.parametrize("name", NAMES)
@hypothesis_settings(
    derandomize=True, max_examples=25, deadline=None, suppress_health_check=list(HealthCheck), database=None
)
@given(seed=st.integers(0, 1 << 32), steps=st.integers(20, 150))
def test_the_rules_hold(name, seed, steps):
    player = EventPlayer(DEPLOYMENTS[name], random.Random(seed))
    player.run(steps)
    assert all(job["answered"] is not None or job["gone"] for job in player.jobs.values())


def test_one_of_many_that_minds_no_cold_worker_is_caught(monkeypatch):
    monkeypatch.setattr(SlowStart, "budget_left", lambda _self, _worker, _now: inf)

    def run_seeds():
        for seed in range(400):
            EventPlayer(DEPLOYMENTS["reports by probes only"], random.Random(seed)).run(150)

    with pytest.raises(RuleBrokenError, match="rule 4"):
        run_seeds()


def dispatcher_of(name):
    return InMemoryDispatcher(DEPLOYMENTS[name], workers=WORKERS.get(name, 2))


@pytest.fixture(params=NAMES)
def dispatcher(request):
    return dispatcher_of(request.param)


def ask(dispatcher, cls, id_="r1", **headers):
    more = {"Idempotency_Key": "k"} if cls.effect == Effect.KEYED else {}
    return dispatcher.client(path=f"/{cls.name}", id_=id_, **more, **headers)


def test_each_class_is_served_once_with_the_workers_result(dispatcher):
    for number, cls in enumerate(dispatcher.exchange.settings.classes):
        client = ask(dispatcher, cls, id_=f"r{number}")
        end = (
            dispatcher.dials[0].up()
            if dispatcher.dials
            else next(end for end in dispatcher.ends if end.take())
        )
        end.finish(result=cls.name)
        assert [(status, body) for status, _, body in client.answers()] == [(200, cls.name.encode())]


@pytest.mark.parametrize("name", NAMES)
def test_what_broke_after_its_last_byte_goes_only_where_its_class_allows(name):
    for cls in DEPLOYMENTS[name].classes:
        dispatcher = dispatcher_of(name)
        client = ask(dispatcher, cls, wait=900)
        end = dispatcher.dials[0].up()
        assert end.take() == ["r1"]
        end.pipe.break_off()
        dispatcher.settle()
        if cls.effect == Effect.UNSAFE:  # it may have run: no word of coming again
            assert [status for status, _, _ in client.answers()] == [502]
            assert not dispatcher.dials
        for _ in range(20):
            while dispatcher.dials:
                dispatcher.dials[0].up().pipe.break_off()
            dispatcher.advance(100.0)
        assert len(client.answers()) == (cls.effect != Effect.UNSAFE), "once, and before the client leaves"
        assert sum(len(end.came) for end in dispatcher.ends) <= DEPLOYMENTS[name].max_attempts


@pytest.mark.parametrize("name", [name for name in NAMES if DEPLOYMENTS[name].max_attempts > 1])
def test_what_never_left_whole_is_sent_again_whatever_its_class(name):
    for cls in DEPLOYMENTS[name].classes:
        fresh = dispatcher_of(name)
        client = ask(fresh, cls)
        fresh.dials[0].refuse()
        while not fresh.dials:  # at once at a second worker; the only one rests for a while
            assert not client.answers()
            fresh.advance(20.0)


def test_a_tenant_is_known_by_name_and_an_unknown_one_has_no_share(dispatcher, monkeypatch):
    came = []
    monkeypatch.setattr(core, "RequestReceived", lambda *args: came.append(args[3]) or REAL(*args))
    cls, tenants = dispatcher.exchange.settings.classes[0], dispatcher.exchange.settings.tenants
    words = [tenant.name for tenant in tenants] + ["nobody", ""]
    for number, word in enumerate(words):
        ask(dispatcher, cls, id_=f"t{number}", **({"X_Tenant": word} if word else {}))
    assert came == [*range(len(tenants)), len(tenants), len(tenants)]


REAL = core.RequestReceived


ACTIONS = [
    StartAttempt(1, 1, 0.0, 0.0),
    CancelAttempt(1, 0),
    RejectRequest(1),
    FailRequest(1),
    SetTimer(InMemoryDispatcher.START + 10.0, 1),
    ProbeWorker(1),
    CloseIdleConnections(1),
    SendPeerReport(-1, b""),
    WatchEndpoints(True),
    FetchEndpoints(),
    LogMessage("policy: test"),
]


def test_the_examples_hold_every_type_of_action():
    assert {type(action) for action in ACTIONS} == set(Action.__args__)


def execute(dispatcher, action):
    """Lets the policy decide an action in one turn."""
    dispatcher.exchange.dispatcher.handle = lambda _now, _events: [action]
    dispatcher.exchange.turn(dispatcher.now)
    del dispatcher.exchange.dispatcher.handle
    return [line for line in dispatcher.logged if "action failed" in line]


@pytest.mark.parametrize("action", ACTIONS, ids=lambda action: type(action).__name__)
def test_every_action_of_the_policy_is_carried_out(dispatcher, action):
    assert execute(dispatcher, action) == []


def test_an_unknown_action_is_logged(dispatcher):
    [line] = execute(dispatcher, object())
    assert line.startswith("exchange: action failed (action=object ")
    assert "Traceback" in line


def told(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_a_tenant_over_its_share_does_not_push_out_one_within_it_in_the_same_burst():
    tenants = (Tenant("a", 50.0, 0.7), Tenant("b", 2.0, 0.3))
    site = replace(DEPLOYMENTS["admissions"], dispatcher_count=1, tenants=tenants)
    node = Node(site, workers=1)
    events = [RequestReceived(n, 0, 5000.0, tenant_index=1) for n in range(1, 41)]
    events += [RequestReceived(n, 0, 5000.0, tenant_index=0) for n in range(41, 51)]
    refused = {action.request_id for action in told(node.play(*events), RejectRequest)}
    assert refused, "only of the one that is over its share"
    assert refused <= set(range(1, 41)), "only of the one that is over its share"


def test_two_answers_of_second_copies_in_one_turn_are_one_answer():
    dispatcher = InMemoryDispatcher(DEPLOYMENTS["admissions"])
    client = ask(dispatcher, dispatcher.exchange.settings.classes[0])
    first = dispatcher.dials[0].up()
    first.say({"id": "r1", "from": "w", "state": "started"})
    while not dispatcher.dials:  # silence: the class may have a second copy
        dispatcher.advance(50.0)
    second = dispatcher.dials[0].up()
    assert second.take() == ["r1"]
    assert first.take() == ["r1"]
    settle, dispatcher.settle = dispatcher.settle, lambda: None
    second.finish(result="second")
    first.say({"id": "r1", "from": "w", "state": "done", "result": "first"}, head=False, end=True)
    dispatcher.settle = settle
    dispatcher.settle()
    assert [(status, body) for status, _, body in client.answers()] == [(200, b"second")]
    assert dispatcher.exchange.pending_request_count == 0
    assert not dispatcher.exchange.has_request("r1")


@pytest.mark.parametrize("cut", ["before", "within", "after"])
def test_a_never_twice_job_whose_leg_broke_before_within_or_after_its_last_byte(cut):
    site = DEPLOYMENTS["admissions"]
    dispatcher = InMemoryDispatcher(site)
    client = ask(dispatcher, next(cls for cls in site.classes if cls.effect == Effect.UNSAFE))
    if cut == "before":
        dispatcher.dials[0].refuse()
    else:
        dispatcher.dials[0].up(stuck=cut == "within").pipe.break_off()
    dispatcher.settle()
    if cut == "after":  # it may have run: the truth, at once, and no word of coming again
        assert [status for status, _, _ in client.answers()] == [502]
        assert not dispatcher.dials
    else:
        dispatcher.dials[0].up().finish(result="once")
        assert [(status, body) for status, _, body in client.answers()] == [(200, b"once")]


def test_a_peer_that_falls_silent_is_believed_for_two_seconds_and_no_longer():
    node = Node(replace(DEPLOYMENTS["admissions"], tenants=()), workers=1)
    learn(node.dispatcher, slots=(KindSlots(0, 4.0),))
    node.play(PeerReportReceived(1, encode_peer_report([(1, 9)])))
    assert not told(node.arrive(cls=0)[1], StartAttempt)
    node.play(at=1900.0)
    assert not told(node.arrive(cls=0, due=9000.0)[1], StartAttempt)
    assert told(node.play(at=2100.0), StartAttempt)


def test_two_dispatchers_that_see_the_same_free_slot_take_it_once_they_have_told():
    site = replace(DEPLOYMENTS["admissions"], tenants=())
    nodes = [Node(replace(site, dispatcher_index=me), workers=1, seed=me) for me in (0, 1)]
    for node in nodes:
        learn(node.dispatcher, slots=(KindSlots(0, 2.0),))
    sent = [node.arrive(cls=0, slots=2.0)[1] for node in nodes]
    assert all(told(actions, StartAttempt) for actions in sent), "neither could know: one waits at the worker"
    for index, (node, actions) in enumerate(zip(nodes, reversed(sent), strict=True)):
        node.play(*[PeerReportReceived(1 - index, tell.data) for tell in told(actions, SendPeerReport)])
    assert not any(told(node.arrive(cls=0, slots=2.0)[1], StartAttempt) for node in nodes)


def test_an_older_report_than_the_slots_seen_does_not_shrink_a_worker():
    node = Node(replace(DEPLOYMENTS["admissions"], tenants=(), dispatcher_count=1), workers=1)
    learn(node.dispatcher, slots=(KindSlots(0, 4.0),))
    id_, _ = node.arrive(cls=0)
    node.play(AttemptEnded(id_, 0, 1, Outcome.OK, 1.0, True, load_report=(9.0, 9.0, 0.0)))
    assert told(node.arrive(cls=0)[1], StartAttempt), "what was free seconds ago is no limit"
