"""A batch whose jobs are accepted and run, while its dispatcher is restarted as planned."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from contextlib import suppress
from pathlib import Path

from stand_ins_2 import (
    LIMITS,
    LOOPBACK,
    Agent,
    Case,
    CaseError,
    Connection,
    Dispatcher,
    Worker,
    free_port,
    now_ms,
    play,
    request_class,
    settings,
    share_keys,
    trouble,
)

JOBS = 16
RUN_MS = 1200
WORKERS = 4
GIVE_UP_MS = 12_000.0
SLACK_MS = 550.0  # an answer may come half a second late, and limits on sockets are 50 ms longer
KILL_AFTER_S = 3.7  # SIGKILL comes no sooner: the longest deadline, taken as 3 s, and 0.7 s more
SIGTERM_AFTER_S = 0.3
ASK_AGAIN_S = 0.5
CREATED, FINAL = 201, ("done", "failed")


async def restart(dispatcher: Dispatcher) -> bool:
    """Restart the dispatcher as the platform does; return whether SIGKILL was needed.

    SIGTERM, SIGKILL at the earliest time that the page allows, and the same command again.
    """
    dispatcher.signal(signal.SIGTERM)
    with suppress(TimeoutError):
        async with asyncio.timeout(KILL_AFTER_S):
            await dispatcher.ended()
    killed = dispatcher.running
    if killed:
        dispatcher.signal(signal.SIGKILL)
        await dispatcher.ended()
    await dispatcher.start()
    return killed


async def final_statuses(
    case: Case, connection: Connection, job_ids: list[str], until: float
) -> dict[str, str]:
    """Wait for the jobs' ends in turn, again and again; return what was heard of those without one."""
    heard = dict.fromkeys(job_ids, "nothing")
    while heard and now_ms() < until:
        for job_id in list(heard):
            left = max(1, int(until - now_ms()))
            path = f"/v1/jobs/{job_id}/wait?timeoutMs={left}"
            reply = await connection.call("GET", path, limit_s=left / 1000.0 + 1.0)
            status = reply.json()
            if status.get("state") in FINAL:
                case.note("job final", id=job_id, verdict=status.get("verdict"))
                del heard[job_id]
            else:
                heard[job_id] = str(status.get("error") or reply.error)
                case.note("no answer", id=job_id, heard=heard[job_id])
        await asyncio.sleep(ASK_AGAIN_S)
    return heard


async def act(case: Case) -> list[str]:
    """Submit one batch and wait for its jobs in turn, as DRMAA's synchronize does."""
    workers = [Worker(case, f"w{number}", slots=2) for number in range(WORKERS)]
    share_keys(workers)
    for worker in workers:
        await worker.open()
    agent = Agent(case, workers)
    await agent.open()
    batch = LOOPBACK, free_port()
    classes = [
        request_class("claim-status", "retryable", 5000.0),
        request_class("loss-report", "dedup", GIVE_UP_MS, key_scope="zone", repeat_window=20_000),
    ]
    config = {
        "limits": LIMITS,
        "settings": settings(classes),
        "batch": {"enabled": True, "listen": f"{batch[0]}:{batch[1]}"},
    }
    dispatcher = Dispatcher(case, "n0", config, agent.address)
    await dispatcher.start()
    connection = Connection(batch)
    templates = [
        {"jobClass": "loss-report", "subject": f"s{n}", "body": json.dumps({"job": f"j{n}", "run": RUN_MS})}
        for n in range(JOBS)
    ]
    submitted = now_ms()
    reply = await connection.call("POST", "/v1/bulk-jobs", json.dumps({"jobs": templates}).encode())
    case.note("submitted", status=reply.status)
    ids = reply.json().get("jobIds", [])
    if reply.status != CREATED or len(ids) != JOBS:
        raise CaseError("the batch was not accepted")
    restarted = None
    if trouble():
        loop = asyncio.get_running_loop()
        await asyncio.sleep(SIGTERM_AFTER_S)
        restarted = loop.create_task(restart(dispatcher))
    unanswered = await final_statuses(case, connection, ids, submitted + GIVE_UP_MS + SLACK_MS)
    ran = {id_ for worker in workers for id_ in worker.ends}
    if restarted is not None and await restarted:  # what SIGKILL finds unanswered is excused
        unanswered = {job_id: last for job_id, last in unanswered.items() if job_id in ran}
    return [
        f"job {job_id} was accepted and never answered, {told} ({last})"
        for job_id, last in unanswered.items()
        for told in ["its result came" if job_id in ran else "no worker ran it"]
    ]


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, act))
