"""A model of the connections' states: random steps of clients, workers and discovery keep the rules."""

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
JUNK = [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]", b"\0" * 9]
HOWS = ["done", "failed", "lost", "returned", "other-id", "break", "unstick", "junk", "status", "cut", "end"]
DAMAGED = [b"GET\r\n\r\n", b"POST /safe HTTP/1.1\r\nContent-Length: x\r\n\r\n", b"\xff" * 20000, b"\r\nPOST"]


class Connections(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.dispatcher = InMemoryDispatcher(workers=3, most=50, worker_connections=50)
        self.clients = []  # client, id and path of those that wait
        self.count = 0
        self.sound = True
        self.ran = Counter()  # ids that a worker holds or held whole and did not hand back
        self.results = {}  # what workers gave
        self.status = dict.fromkeys((1, 2, 3), "SERVING")
        self.banned = set()
        self.seen = Counter()  # how many whole requests each worker's end has brought

    @rule(path=st.sampled_from(PATHS), wait=st.sampled_from([50, 400, 5000]))
    def arrive(self, path, wait):
        self.count += 1
        client = Client(self.dispatcher)
        self.clients.append((client, f"r{self.count}", path))
        client.post(path, f"r{self.count}", wait, Idempotency_Key="k")
        self.look()

    @rule(data=st.data())
    def leave(self, data):
        if self.clients:
            client, *_ = self.clients.pop(data.draw(st.integers(0, len(self.clients) - 1)))
            client.pipe.break_off()
            self.dispatcher.settle()

    @rule(data=st.data(), stuck=st.booleans(), refused=st.booleans())
    def dialled(self, data, stuck, refused):
        if self.dispatcher.dials:
            dial = data.draw(st.sampled_from(self.dispatcher.dials))
            if refused:
                dial.refuse()
            else:
                end = dial.up(stuck)
                assert self.serves(end.worker) or not end.pipe.written, "begun after a drain"
            self.look()

    @rule()
    def dialled_all(self):
        for dial in list(self.dispatcher.dials):
            if dial not in self.dispatcher.dials or not dial.up().pipe.written:
                continue
            assert self.serves(dial.address[1]), "begun after a drain"
        self.look()

    def serves(self, worker):
        return self.status[worker] == "SERVING" and worker not in self.banned

    @rule(data=st.data(), how=st.sampled_from(HOWS))
    def work(self, data, how):
        ends = [end for end in self.dispatcher.ends if end.pipe.open]
        ends = [end for end in ends if end.take() or end.pipe.stuck] or ends
        if not ends:
            return
        end = data.draw(st.sampled_from(ends))
        holds = end.take()
        if how == "unstick":
            end.pipe.unstick()
        elif how == "break":
            end.pipe.break_off()
        elif how == "junk":
            end.pipe.send(data.draw(st.sampled_from(JUNK)))
        elif holds and how == "other-id":
            end.say({"id": "rx", "state": "done", "result": "wrong"}, end=True)
        elif holds and how == "cut":
            end.pipe.send(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{"id":"%s","state"'
                % holds[0].encode()
            )
            end.pipe.break_off()
        elif holds and how == "end":
            end.say(end=True)
        elif holds and how == "status":
            status, headers = data.draw(st.sampled_from(STATUSES))
            self.ran[holds[0]] -= "X_Not_Run" in headers
            end.status(status, **headers)
        elif holds and how in ("done", "failed", "lost", "returned"):
            self.ran[holds[0]] -= how == "returned"
            if how == "done":
                self.results[holds[0]] = f"result of {holds[0]} {self.ran[holds[0]]}"
            end.finish(how, self.results.get(holds[0], ""))
        self.dispatcher.settle()
        self.look()

    @rule(data=st.data(), status=st.sampled_from(["SERVING", "DRAINING", "DELETED"]))
    def news(self, data, status):
        worker = data.draw(st.sampled_from([dial.address[1] for dial in self.dispatcher.dials] or [1, 2, 3]))
        self.status[worker] = status
        self.dispatcher.tell((worker, status))
        self.look()

    @rule(data=st.data(), out=st.booleans())
    def maintain(self, data, out):
        worker = data.draw(st.sampled_from([dial.address[1] for dial in self.dispatcher.dials] or [1, 2, 3]))
        assert (self.dispatcher.table.ban if out else self.dispatcher.table.unban)(f"w{worker}")
        (self.banned.add if out else self.banned.discard)(worker)
        self.dispatcher.settle()
        self.look()

    @rule(junk=st.sampled_from(DAMAGED))
    def bad_client(self, junk):
        client = Client(self.dispatcher)
        client.send(junk)
        assert all(status in (400, 413) for status, *_ in client.answers())

    @rule(span=st.sampled_from([1.0, 60.0, 150.0, 1000.0, 8000.0]))
    def time(self, span):
        self.dispatcher.advance(span)
        self.look()

    def look(self):
        """Record the requests that workers received and the responses that clients received."""
        self.sound = False
        out = Counter()
        for end in self.dispatcher.ends:
            held = end.take()
            self.ran.update(end.came[self.seen[end] :])
            self.seen[end] = len(end.came)
            out.update(held if end.pipe.open else [])
        assert all(n == 1 for n in out.values()), "two legs of one request at once"
        for entry in list(self.clients):
            client, id_, path = entry
            answers = client.answers()
            assert len(answers) <= 1, "answered twice"
            if answers:
                self.clients.remove(entry)
                status, _, body = answers[0]
                assert status in (200, 502, 503)
                if status == 200:
                    assert body.decode() == self.results.get(id_), "served what no worker made for it"
                if status == 503:
                    assert path != "/unsafe/b" or not self.ran[id_], "declined what may have run"
            assert path != "/unsafe/b" or self.ran[id_] <= 1, "repeated what may have run"
        self.sound = True

    @invariant()
    def bounded(self):
        assert self.dispatcher.side.connection_count <= 50

    def teardown(self):
        if not self.sound:  # a rule has been broken already; what follows would hide which
            return
        self.dispatcher.advance(13_000.0)
        self.look()
        assert not self.clients, "never answered"
        assert not self.dispatcher.exchange.pending_request_count


def run(examples):
    """Run random steps without shrinking, which would take minutes; a failure prints its steps."""
    run_state_machine_as_test(
        Connections,
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
    "begun after a drain": lambda m: m.setattr(WorkerReports, "may_write", lambda _self, _leg, _now: True),
    "served what no worker made": lambda m: m.setattr(worker_response, "parse_update", any_result),
    "answered twice|after the end": lambda m: m.setattr(
        ClientConnection, "answer", twice(ClientConnection.answer)
    ),
    "may have run": lambda m: m.setattr(
        CallReporter, "report_failure", sure_of_it(CallReporter.report_failure)
    ),
    "two legs|may have run": lambda m: m.setattr(WorkerPool, "start", doubled(WorkerPool.start)),
    "never answered": lambda m: m.setattr(ClientConnection, "answer", deaf(ClientConnection.answer)),
}


def any_result(_line, _request_id):
    return Result(b"wrong")


def twice(real):
    def answer(self, status, body=b"", **headers):
        real(self, status, body, **headers)
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    return answer


def sure_of_it(real):
    return lambda self, call, outcome: real(self, call, Outcome.FULL if outcome == Outcome.RESET else outcome)


def doubled(real):
    return lambda self, leg: [real(self, leg), real(self, leg)]


def deaf(real):
    return lambda self, status, *a, **headers: real(self, status, *a, **headers) if status != 502 else None


@pytest.mark.parametrize("fault", FAULTS)
def test_model_detects_a_planted_fault(fault, monkeypatch):
    FAULTS[fault](monkeypatch)
    with pytest.raises(AssertionError, match=fault):
        run(4000)  # ends at the first failure; the steps drawn depend on the modules loaded
