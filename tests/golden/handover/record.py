"""Records the handover's messages, one file for each kind, as the program at the import path writes them.

The files here were written by revision 731b84e, whose tree stood at BEFORE:

    PYTHONPATH=BEFORE:BEFORE/tests python tests/golden/handover/record.py tests/golden/handover

They are never written anew: they are what a process of that revision sends, and later programs read it.
"""

import json
import os
import socket
import sys
from dataclasses import replace
from pathlib import Path

LISTEN = "listen 127.0.0.1:1"
DESK_START = "1_000_000.0"  # ms: the clock of the tests, in place of which there is Unix time here
UNIX_START = "1_764_600_000_000.0"


def accept(handover, link):
    """Lets an old process hear a new one."""
    handover.heard(link)


def take_over(handover, link, finished):
    """Lets a new process ask for the handover."""
    handover.ask(link, finished)


def pass_connection(handover, let_go):
    """Lets an old process pass a client's connection on."""
    handover._give(LISTEN, let_go)


def tell_departed(handover, keys):
    """Lets a new process tell of parked connections that are its alone."""
    handover._tell_departed(LISTEN, keys)


def teach(dispatcher):
    """Lets the decisions of a process have learnt something that the next one goes on from."""
    module = dispatcher.exchange._module
    module._served_rate = 0.75
    pacer = module._pacers[0]
    pacer.run, pacer.rate, pacer.uncut, pacer.next_at = 120.0, 4.0, 20.0, dispatcher.now + 250.0
    module._workers[dispatcher.ids.worker("w3")].recent.append((dispatcher.now - 30.0, 80.0))
    erring = module._workers[dispatcher.ids.worker("w1")]
    erring.faults = 2.0
    erring.strike(dispatcher.now, erring=True)


def name_of(message):
    """The name of a message's file: its kind, and what sets it apart from others of the kind."""
    kind = message["is"]
    more = {
        "state": "peers" if message.get("peers") else "",
        "ask": "peers" if message.get("peers") else "",
        "parked": "copies" if message.get("keys") else "",
        "client": "begun" if message.get("begun") else "",
        "ban": "end" if message.get("since", 0) is None else "",
        "news": "attempts" if message.get("legs") else "",
    }.get(kind, "")
    return f"{kind}-{more}" if more else kind


class PeersPort:
    """A port to other dispatchers that passes on with the handover."""

    def __init__(self):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def open(self, sock):
        sock.close()

    def rest(self, resting):
        pass

    def pause(self):
        """As the present port calls it."""

    def resume(self):
        """As the present port calls it."""


class Program:
    """What the scene needs of a program and its tests, for other revisions may have it elsewhere."""

    Side = None  # one process in memory, with its end of the handover
    Wire = None  # one end of a link in memory
    Given = None  # what is told of a client's connection


def use_731b84e():
    """Plays the scene with 731b84e, and lets the clock of its tests' dispatchers show Unix time."""
    import desk
    import test_handover

    from eiderfield.net.clients import Given

    source = Path(desk.__file__).read_text()
    assert DESK_START in source
    exec(compile(source.replace(DESK_START, UNIX_START), desk.__file__, "exec"), desk.__dict__)
    test_handover.Desk = desk.Desk
    test_handover.Side.dispatcher = property(lambda side: side.desk)  # its name in that revision
    Program.Side, Program.Wire, Program.Given = test_handover.Side, test_handover.Wire, Given


def busy_side():
    """An old process in the midst of its work."""
    side = Program.Side()
    listening = socket.create_server(("127.0.0.1", 0))
    side.dispatcher.listener.adopt(side.loop, listening)
    dispatcher = side.dispatcher
    dispatcher.tell((3, "SERVING"), since=dispatcher.now - 100.0)  # in slow start
    dispatcher.tell((4, "DRAINING"), (5, "DELETED"), (6, "SERVING"))
    dispatcher.table.ban("w2")
    dispatcher.table.ban("w6")
    dispatcher.advance(40.0)
    dispatcher.table.unban("w6")  # taken to be in slow start
    for number in range(4):
        dispatcher.client(id_=f"held{number}")
    while dispatcher.dials:
        dispatcher.dials[0].up()
    for end in list(dispatcher.ends):
        end.take()
        if end.requests:
            end.finish()
            break
    dispatcher.client(path="/keyed/claim-7", id_="keyed", Idempotency_Key="k")
    teach(dispatcher)
    return side


class Recorder:
    """Two processes that talk, with what they send written down."""

    def __init__(self, folder, peers):
        self.folder = folder
        self.old, self.new = busy_side(), Program.Side(workers=0)
        self.new.dispatcher.now = self.old.dispatcher.now
        self.wires = [Program.Wire(), Program.Wire()]
        for wire, peer in zip(self.wires, reversed(self.wires), strict=True):
            wire.peer = peer
            wire.send = self.recording(wire.send)
        if peers:
            self.old.handover.peers, self.new.handover.peers = PeersPort(), PeersPort()
        accept(self.old.handover, self.wires[0])
        take_over(self.new.handover, self.wires[1], self.new.settle)

    def recording(self, send):
        def record(message, fds=()):
            path = self.folder / f"{name_of(message)}.json"
            if not path.exists():
                recorded = {"descriptors": len(fds), "message": message}
                path.write_text(json.dumps(recorded, indent=1) + "\n")
            send(message, fds)

        return record

    def go(self):
        """Lets the two talk until nothing is left to say."""
        more = True
        while more:
            for side in (self.old, self.new):
                side.dispatcher.settle()
                side.dispatcher.advance(8.0)
            more = sum([wire.deliver() for wire in self.wires]) > 0


def accept_all(side, room):
    """Lets a listener, which has no loop here, take what it is given; without `room`, no batches."""
    listener = side.dispatcher.listener
    listener.borrow = lambda fd, since, key: room and os.close(fd) is None
    listener.admit = lambda sock, given: sock.close()


def park(side, copies):
    """Lets a listener have one parked connection to pass on."""
    here, _ = pair = socket.socketpair()
    kept.append(pair)
    listener = side.dispatcher.listener
    listener.idling = replace(listener.idling, copies=copies)
    batches = [[(here.fileno(), listener.clock() - 1500.0)]]
    listener.lend = lambda most: batches.pop() if batches else []


def give(side, proven, begun):
    """Passes a client's connection on."""
    here, _ = pair = socket.socketpair()
    kept.append(pair)
    given = Program.Given(proven, side.dispatcher.now - 900.0, begun)
    pass_connection(side.handover, lambda: (os.dup(here.fileno()), given))


def play(folder, copies):
    recorder = Recorder(folder, peers=copies)
    old, new = recorder.old, recorder.new
    accept_all(new, room=not copies)
    park(old, copies)
    recorder.go()
    assert new.done
    give(old, proven=copies, begun=b"" if copies else b"POST /safe/k HTT")
    recorder.go()
    new.dispatcher.client(id_="new")
    recorder.go()
    new.dispatcher.advance(300.0)  # its class is paced
    recorder.go()
    old.dispatcher.table.ban("w1")
    recorder.go()
    new.dispatcher.table.unban("w1")
    recorder.go()
    tell_departed(new.handover, [7])
    third = Program.Wire()
    third.send = recorder.recording(third.send)
    accept(old.handover, third)


kept = []

if __name__ == "__main__":
    use_731b84e()
    for copies in (False, True):
        play(Path(sys.argv[1]), copies)
