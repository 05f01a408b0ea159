"""Random steps of clients, workers and discovery: connections keep the rules of a model."""

from collections import Counter

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from support.memory_dispatcher import Client, InMemoryDispatcher

from eiderfield.exchange.worker_reports import WorkerReports
from eiderfield.interface import Outcome
from eiderfield.net import worker_response
from eiderfield.net.clients import ClientConnection
from eiderfield.net.worker_calls import CallReporter
from eiderfield.net.worker_messages import Result
from eiderfield.net.worker_pool import WorkerPool

PATHS = ["/unsafe/b", "/safe/a", "/unsafe/b", "/keyed/c", "/safe"]
STATUSES = [(500, {}), (503, {}), (503, {"X_Not_Run": "1"}), (504, {"X_Not_Run": "1"}), (200, {}), (302, {})]
MALFORMED_RESPONSES = [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]", b"\0" * 9]
WORKER_ACTIONS = [
    "done",
    "failed",
    "lost",
    "returned",
    "other-id",
    "break",
    "unstick",
    "malformed",
    "status",
    "cut",
    "end",
]
MALFORMED_REQUESTS = [
    b"GET\r\n\r\n",
    b"POST /safe HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    b"\xff" * 20000,
    b"\r\nPOST",
]


class ConnectionModel(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.dispatcher = InMemoryDispatcher(workers=3, most=50, worker_connections=50)
        self.clients = []  # client, id and path of each request without a response
        self.count = 0
        self.consistent = True
        self.runs = Counter()  # by id, how often workers received the request and did not return it
        self.results = {}  # by id, the result that a worker sent
        self.status = dict.fromkeys((1, 2, 3), "SERVING")
        self.banned = set()
        self.recorded = Counter()  # by worker connection, how many of its requests are recorded

    @rule(path=st.sampled_from(PATHS), wait=st.sampled_from([50, 400, 5000]))
    def add_request(self, path, wait):
        self.count += 1
        client = Client(self.dispatcher)
        self.clients.append((client, f"r{self.count}", path))
        client.post(path, f"r{self.count}", wait, Idempotency_Key="k")
        self.check()

    @rule(data=st.data())
    def disconnect(self, data):
        if self.clients:
            client, *_ = self.clients.pop(data.draw(st.integers(0, len(self.clients) - 1)))
            client.pipe.break_off()
            self.dispatcher.settle()

    @rule(data=st.data(), stuck=st.booleans(), refused=st.booleans())
    def complete_dial(self, data, stuck, refused):
        if self.dispatcher.dials:
            dial = data.draw(st.sampled_from(self.dispatcher.dials))
            if refused:
                dial.refuse()
            else:
                end = dial.up(stuck)
                assert self.is_available(end.worker) or not end.pipe.written, "sent to a draining worker"
            self.check()

    @rule()
    def complete_dials(self):
        for dial in list(self.dispatcher.dials):
            if dial not in self.dispatcher.dials or not dial.up().pipe.written:
                continue
            assert self.is_available(dial.address[1]), "sent to a draining worker"
        self.check()

    def is_available(self, worker):
        return self.status[worker] == "SERVING" and worker not in self.banned

    @rule(data=st.data(), action=st.sampled_from(WORKER_ACTIONS))
    def worker_acts(self, data, action):
        ends = [end for end in self.dispatcher.ends if end.pipe.open]
        ends = [end for end in ends if end.take() or end.pipe.stuck] or ends
        if not ends:
            return
        end = data.draw(st.sampled_from(ends))
        request_ids = end.take()
        if action == "unstick":
            end.pipe.unstick()
        elif action == "break":
            end.pipe.break_off()
        elif action == "malformed":
            end.pipe.send(data.draw(st.sampled_from(MALFORMED_RESPONSES)))
        elif request_ids and action == "other-id":
            end.say({"id": "rx", "state": "done", "result": "wrong"}, end=True)
        elif request_ids and action == "cut":
            end.pipe.send(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{"id":"%s","state"'
                % request_ids[0].encode()
            )
            end.pipe.break_off()
        elif request_ids and action == "end":
            end.say(end=True)
        elif request_ids and action == "status":
            status, headers = data.draw(st.sampled_from(STATUSES))
            self.runs[request_ids[0]] -= "X_Not_Run" in headers
            end.status(status, **headers)
        elif request_ids and action in ("done", "failed", "lost", "returned"):
            self.runs[request_ids[0]] -= action == "returned"
            if action == "done":
                self.results[request_ids[0]] = f"result of {request_ids[0]} {self.runs[request_ids[0]]}"
            end.finish(action, self.results.get(request_ids[0], ""))
        self.dispatcher.settle()
        self.check()

    @rule(data=st.data(), status=st.sampled_from(["SERVING", "DRAINING", "DELETED"]))
    def report_status(self, data, status):
        worker = data.draw(st.sampled_from([dial.address[1] for dial in self.dispatcher.dials] or [1, 2, 3]))
        self.status[worker] = status
        self.dispatcher.tell((worker, status))
        self.check()

    @rule(data=st.data(), disable=st.booleans())
    def enable_or_disable(self, data, disable):
        worker = data.draw(st.sampled_from([dial.address[1] for dial in self.dispatcher.dials] or [1, 2, 3]))
        assert (self.dispatcher.table.ban if disable else self.dispatcher.table.unban)(f"w{worker}")
        (self.banned.add if disable else self.banned.discard)(worker)
        self.dispatcher.settle()
        self.check()

    @rule(request=st.sampled_from(MALFORMED_REQUESTS))
    def bad_client(self, request):
        client = Client(self.dispatcher)
        client.send(request)
        assert all(status in (400, 413) for status, *_ in client.answers())

    @rule(duration=st.sampled_from([1.0, 60.0, 150.0, 1000.0, 8000.0]))
    def wait(self, duration):
        self.dispatcher.advance(duration)
        self.check()

    def check(self):
        """Record the requests that workers received and the responses that clients received."""
        self.consistent = False
        open_attempts = Counter()
        for end in self.dispatcher.ends:
            request_ids = end.take()
            self.runs.update(end.came[self.recorded[end] :])
            self.recorded[end] = len(end.came)
            open_attempts.update(request_ids if end.pipe.open else [])
        assert all(n == 1 for n in open_attempts.values()), "two attempts of one request at once"
        for entry in list(self.clients):
            client, id_, path = entry
            answers = client.answers()
            assert len(answers) <= 1, "answered twice"
            if answers:
                self.clients.remove(entry)
                status, _, body = answers[0]
                assert status in (200, 502, 503)
                if status == 200:
                    assert body.decode() == self.results.get(id_), "served a result that no worker made"
                if status == 503:
                    assert path != "/unsafe/b" or not self.runs[id_], "declined a request that may have run"
            assert path != "/unsafe/b" or self.runs[id_] <= 1, "repeated a request that may have run"
        self.consistent = True

    @invariant()
    def connections_are_bounded(self):
        assert self.dispatcher.side.connection_count <= 50

    def teardown(self):
        if not self.consistent:  # a check has failed already; further checks would hide which one
            return
        self.dispatcher.advance(13_000.0)
        self.check()
        assert not self.clients, "never answered"
        assert not self.dispatcher.exchange.pending_request_count


def run(examples):
    """Run random steps without shrinking, which would take minutes; a failure prints its steps."""
    run_state_machine_as_test(
        ConnectionModel,
        settings=settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=40,
            deadline=None,
            database=None,
            report_multiple_bugs=False,
            print_blob=False,
            phases=[Phase.generate],
        ),
    )


def test_model_random_steps_keep_the_rules():
    run(100)


FAULTS = {
    "sent to a draining worker": lambda m: m.setattr(
        WorkerReports, "may_write", lambda _self, _leg, _now: True
    ),
    "served a result that no worker made": lambda m: m.setattr(
        worker_response, "parse_update", parse_any_result
    ),
    "answered twice|after the end": lambda m: m.setattr(
        ClientConnection, "answer", write_twice(ClientConnection.answer)
    ),
    "may have run": lambda m: m.setattr(
        CallReporter, "report_failure", report_as_not_run(CallReporter.report_failure)
    ),
    "two attempts|may have run": lambda m: m.setattr(WorkerPool, "start", start_twice(WorkerPool.start)),
    "never answered": lambda m: m.setattr(ClientConnection, "answer", drop_502(ClientConnection.answer)),
}


def parse_any_result(_line, _request_id):
    return Result(b"wrong")


def write_twice(real):
    def answer(self, status, body=b"", **headers):
        real(self, status, body, **headers)
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    return answer


def report_as_not_run(real):
    return lambda self, call, outcome: real(self, call, Outcome.FULL if outcome == Outcome.RESET else outcome)


def start_twice(real):
    return lambda self, leg: [real(self, leg), real(self, leg)]


def drop_502(real):
    return lambda self, status, *a, **headers: real(self, status, *a, **headers) if status != 502 else None


@pytest.mark.parametrize("fault", FAULTS)
def test_model_planted_fault_is_detected(fault, monkeypatch):
    FAULTS[fault](monkeypatch)
    with pytest.raises(AssertionError, match=fault):
        run(4000)  # ends at the first failure; the steps depend on this source and on the loaded modules
