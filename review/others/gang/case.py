"""A worker crashes that runs some tasks of a gang which writes checkpoints.

Exit code 1 if the tasks of one run of the gang are started with different
checkpoints.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from lib import site as site_module  # noqa: E402

JOBS = 4
WORK_MS = 9_000


async def case(folder, trouble):
    # One of five workers crashes, a fifth of a service's.
    site = site_module.Site(folder, workers=5, spare=0, pools=("proofdesk",))
    try:
        await site.start()
        assert await site.wait_for(lambda: site.owner("proofdesk"), 10)
        await asyncio.sleep(1.0)
        paths = []
        for number in range(JOBS):
            body = site_module.job_body(
                WORK_MS, count=3, cpu=12_000, gang=True, checkpointing=True
            )
            job = f"{number + 1:016x}"
            paths.append(site.add_job("proofdesk", body, job))
            await site.call("front-1", "POST", paths[-1], body)
        await asyncio.sleep(3.8)
        if trouble:
            workers = site.workers("proofdesk")
            worker = max(workers, key=lambda worker: len(worker.runs))
            await site.crash(worker.machine, 3.0)
        await asyncio.sleep(8.0 + WORK_MS / 1_000)
        for path in paths:
            await site.call("front-2", "GET", path)
        held = True
        for (step, run), checkpoints in site.gang_checkpoints.items():
            if len(set(checkpoints.values())) > 1:
                site.record.add(
                    "judge", broken="UNASKED", step=step, run=run,
                    checkpoints=checkpoints,
                )
                held = False
        return held
    finally:
        await site.stop()


if __name__ == "__main__":
    site_module.main(case, FOLDER)
