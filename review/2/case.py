"""Several banks hand in a batch at the same time; each submission must get an answer."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path

from sites import KOCHI_SERVICE, KOCHI_SETTINGS, KOCHI_WORKERS, durable, kochi_workers, with_consul
from standins import Answer, Consul, Dispatcher, Record, Stage, Worker, call, play

BANKS = 5
JOBS_PER_BATCH = 900  # 4,500 jobs in all; the page names 10,000
CLASS = "loss-report"
GIVE_UP_S = 12.0  # of the class; half a second later an answer counts as lost
PATIENCE_S = 30.0  # of the banks, which is far more


async def submit(record: Record, dispatcher: Dispatcher, bank: int) -> Answer:
    """Hand in a bank's batch and wait for the answer, until the bank gives up."""
    jobs = [{"jobClass": CLASS, "body": f"bank-{bank}/{number}"} for number in range(JOBS_PER_BATCH)]
    record.write(f"bank {bank}: sent a batch of {len(jobs)} jobs")
    answer = await call(
        dispatcher.batch_port,
        "POST",
        "/v1/bulk-jobs",
        json.dumps({"jobs": jobs}, separators=(",", ":")).encode(),
        {"Content-Type": "application/json"},
        PATIENCE_S,
    )
    record.write(
        f"bank {bank}: answered {answer.status} after {answer.seconds:.2f} s "
        f"{answer.body[:100]!r} {answer.problem}"
    )
    return answer


def find_breaks(answers: list[Answer], workers: list[Worker]) -> list[str]:
    """Return the submissions that got no answer, with what ran of them."""
    runs = Counter(run.body.partition("/")[0] for worker in workers for run in worker.runs)
    return [
        f"the batch of bank {bank} got no answer within {PATIENCE_S} s ({answer.problem}); "
        f"{runs[f'bank-{bank}']} of its jobs were run"
        for bank, answer in enumerate(answers)
        if not answer.status
    ]


async def case(stage: Stage) -> list[str]:
    """Play the case."""
    record = stage.record
    workers = await kochi_workers(KOCHI_WORKERS, record)
    consul = Consul(record, KOCHI_SERVICE)
    await consul.open()
    await consul.register(workers)
    config = durable(with_consul(KOCHI_SETTINGS, KOCHI_SERVICE, consul, 0), stage.folder, CLASS)
    dispatcher = stage.dispatcher("n0", {**config, "batch": {}})
    await dispatcher.start()
    await asyncio.sleep(1.0)
    if stage.trouble:
        submissions = [submit(record, dispatcher, bank) for bank in range(BANKS)]
        answers = await asyncio.gather(*submissions)
    else:  # the same batches, one bank after the other
        answers = [await submit(record, dispatcher, bank) for bank in range(BANKS)]
    await asyncio.sleep(GIVE_UP_S)
    return find_breaks(answers, workers)


if __name__ == "__main__":
    play(Path(__file__).parent, case)
