"""A pool's owner and the pool's two idle VMs are cut off from all the rest.

The pool's other two VMs run tasks, and the owner's successor reaches them. One
task outlasts the owner's leases of these VMs, the other ends before. Exit code
1 if a task runs twice: at the same time, or after an acknowledged end as done.
"""

import asyncio
import os
import pathlib

import play
from play import site_module

FOLDER = pathlib.Path(__file__).resolve().parent
CUT_S = float(os.environ.get("CUT_S", "6"))
LONG_MS = 10_000
SHORT_MS = 5_500


async def case(folder, trouble):
    site = play.Site(folder)
    try:
        await site.start()
        assert await site.wait_for(lambda: site.owner(play.POOL), 10)
        await asyncio.sleep(2.0)
        owner = site.owner(play.POOL)
        frontend = site.others(owner)[0]
        for work_ms in (LONG_MS, SHORT_MS):
            _, status = await site.submit(frontend, work_ms)
            assert status == 200, status
        assert await site.wait_for(lambda: len(site.busy_machines()) == 2, 5)
        await asyncio.sleep(1.0)
        assert site.owner(play.POOL) == owner
        if trouble:
            site.cut_off(owner, site.idle_machines())
        await asyncio.sleep(CUT_S)
        site.heal()
        await asyncio.sleep(LONG_MS / 1_000)
        return site.judge()
    finally:
        await site.stop()


if __name__ == "__main__":
    site_module.main(case, FOLDER)
