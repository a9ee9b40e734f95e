"""The store fails, comes back slow, and fails again, some times.

Exit code 1 if, with the store back for long and idle workers, an accepted job
doesn't start within 14 s.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import site as site_module  # noqa: E402

POOLS = ("proofdesk", "colourhouse", "letterloom", "coverworks")
OUTAGES = 3
DOWN_S = 4.0
SLOW_S = 2.0
SLOW_MS = 240
USUAL_MS = 4
CONTACT_S = 3.0
FINISH_S = 14.0


async def case(folder, trouble):
    site = site_module.Site(folder, workers=2, pools=POOLS)
    try:
        await site.start()
        shards = (*site.pools, "machines")
        assert await site.wait_for(
            lambda: all(site.owner(shard) for shard in shards), 10
        )
        await asyncio.sleep(2.0)
        if trouble:
            site.store.go_down()
            await asyncio.sleep(DOWN_S)
            for _ in range(OUTAGES - 1):
                site.store.delay_ms = SLOW_MS
                site.store.go_up()
                await asyncio.sleep(SLOW_S)
                site.store.go_down()
                await asyncio.sleep(DOWN_S)
            site.store.delay_ms = USUAL_MS
            site.store.go_up()
        await asyncio.sleep(3 * CONTACT_S)
        for shard in shards:
            site.record.add("owner", shard=shard, node=site.owner(shard))
        jobs = []
        for number, pool in enumerate(2 * POOLS):
            job = f"{number + 1:016x}"
            path = site.add_job(pool, site_module.job_body(200), job)
            status, _ = await site.call(
                f"front-{number % 3 + 1}", "POST", path, site.jobs[job]
            )
            if status == 200:
                jobs.append((path, job))
        await asyncio.sleep(FINISH_S)
        held = True
        for path, job in jobs:
            await site.call("front-1", "GET", path)
            if not site.runs_of(job):
                site.record.add("judge", broken="LOST", job=path)
                held = False
        return held
    finally:
        await site.stop()


if __name__ == "__main__":
    site_module.main(case, FOLDER)
