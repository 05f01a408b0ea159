"""An id of a class that must never run twice begins once, whoever sends it again (issue 54, picture c)."""

import asyncio
import signal
from contextlib import asynccontextmanager

import pytest
from support.crowd import TimedWorker, ask, request, running_dispatcher

pytestmark = [pytest.mark.real_time]

CONFLICT = 409


async def begin_and_leave(dispatcher, workers, id_):
    """Send a request that must not run twice, and close its connection once a worker has begun it."""
    _, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port)
    writer.write(request(id_, class_name="once"))
    async with asyncio.timeout(5.0):
        while not runs(workers, id_):
            await asyncio.sleep(0.01)
    writer.close()
    await writer.wait_closed()


def runs(workers, id_):
    return sum(worker.runs[id_] for worker in workers)


@asynccontextmanager
async def dispatcher_with_workers(folder, work_s=0.5):
    workers = [TimedWorker(work_s) for _ in range(4)]
    async with running_dispatcher(folder, workers) as dispatcher:
        yield dispatcher, workers


# Regression: the dispatcher forgot an id with its client, and the same id began a second time at a worker.
def test_id_that_must_run_once_does_not_begin_again_after_its_client_has_left(tmp_path):
    async def play():
        async with dispatcher_with_workers(tmp_path) as (dispatcher, workers):
            for number in range(5):
                await begin_and_leave(dispatcher, workers, f"once{number}")
                status = await ask(dispatcher.port, request(f"once{number}", class_name="once"))
                assert (status, runs(workers, f"once{number}")) == (CONFLICT, 1)

    asyncio.run(play())


# Regression: an id was forgotten once its request was answered.
def test_id_that_must_run_once_does_not_begin_again_after_its_answer(tmp_path):
    async def play():
        async with dispatcher_with_workers(tmp_path, work_s=0.01) as (dispatcher, workers):
            assert await ask(dispatcher.port, request("once0", class_name="once")) == 200
            assert await ask(dispatcher.port, request("once0", class_name="once")) == CONFLICT
            assert runs(workers, "once0") == 1

    asyncio.run(play())


# Regression: a process that was started after a kill knew no id of the process before it.
def test_id_that_must_run_once_does_not_begin_again_after_a_kill(tmp_path):
    async def play():
        async with dispatcher_with_workers(tmp_path) as (dispatcher, workers):
            await begin_and_leave(dispatcher, workers, "once0")
            await dispatcher.stop(signal.SIGKILL)
            await dispatcher.start()
            assert await ask(dispatcher.port, request("once0", class_name="once")) == CONFLICT
            assert runs(workers, "once0") == 1

    asyncio.run(play())


# Regression: the next process of an upgrade began an id that the previous one had begun.
def test_id_that_must_run_once_does_not_begin_again_at_the_next_process(tmp_path):
    async def play():
        async with dispatcher_with_workers(tmp_path) as (dispatcher, workers):
            old = dispatcher.process
            await begin_and_leave(dispatcher, workers, "once0")
            await dispatcher.start_next()
            assert await ask(dispatcher.port, request("once0", class_name="once")) == CONFLICT
            old.send_signal(signal.SIGTERM)
            await old.wait()
            assert await ask(dispatcher.port, request("once0", class_name="once")) == CONFLICT
            assert runs(workers, "once0") == 1

    asyncio.run(play())


def test_id_of_a_class_that_may_repeat_is_accepted_again(tmp_path):
    async def play():
        async with dispatcher_with_workers(tmp_path, work_s=0.01) as (dispatcher, workers):
            for _ in range(2):
                assert await ask(dispatcher.port, request("echo0")) == 200
            assert runs(workers, "echo0") == 2

    asyncio.run(play())
