"""A task crashes its workers while the pool's owner is killed each 4 s.

Exit code 1 if processes in touch start the task three times more after three
workers have crashed under it.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from lib import site as site_module  # noqa: E402

POOL = "proofdesk"
ENTRIES = 7
KILLS = 4
PERIOD_S = float(os.environ.get("PERIOD_S", "4.0"))
DARK_S = 2.5
CONTACT_MS = 3_000
CRASHES = 3
MORE = 3


async def case(folder, trouble):
    site = site_module.Site(folder, ENTRIES, workers=6, spare=0, pools=(POOL,))
    restarts = []

    async def restart(name):
        await asyncio.sleep(DARK_S)
        await site.start_entry(name)

    try:
        await site.start()
        assert await site.wait_for(lambda: site.owner(POOL), 10)
        await asyncio.sleep(3.0)
        body = site_module.job_body(1_000, count=1)
        body["spec"] = json.dumps({"work_ms": 1_000, "deadly": True})
        path = site.add_job(POOL, body, "d" * 16)
        await site.call("front-1", "POST", path, body)
        await asyncio.sleep(0.8)
        for _ in range(KILLS):
            owner = site.owner(POOL)
            if trouble and owner and site.processes[owner].returncode is None:
                site.signal(owner, signal.SIGKILL)
                await site.processes[owner].wait()
                restarts.append(asyncio.ensure_future(restart(owner)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.sleep(8.0)
        late = site.deadly_starts[CRASHES:]
        counted = [row for row in late if row[2] >= CONTACT_MS]
        site.record.add(
            "judge", starts=len(site.deadly_starts), counted=counted
        )
        return len(counted) < MORE
    finally:
        for task in restarts:
            task.cancel()
        await site.stop()


if __name__ == "__main__":
    site_module.main(case, FOLDER)
