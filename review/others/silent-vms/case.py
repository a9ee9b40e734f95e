"""A pool's owner loses the VMs with tasks first, and the rest 2.5 s later.

Its successor reaches these VMs, and not the idle VMs that stay with the owner.
The leases of the VMs are over, by the clock of the former owner, soon after its
lease in the store has ended. Exit code 1 if a task runs twice: at the same
time, or after an acknowledged end as done.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "former-owner"))

import play  # noqa: E402
from play import site_module  # noqa: E402

VMS_CUT_FIRST_S = 2.5
CUT_S = 5.0
LONG_MS = 12_000
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
        idle = site.idle_machines()
        if trouble:
            site.links.cut(owner, site.busy_machines())
        await asyncio.sleep(VMS_CUT_FIRST_S)
        assert site.owner(play.POOL) == owner
        if trouble:
            site.cut_off(owner, idle)
        await asyncio.sleep(CUT_S)
        site.heal()
        await asyncio.sleep(LONG_MS / 1_000)
        return site.judge()
    finally:
        await site.stop()


if __name__ == "__main__":
    site_module.main(case, FOLDER)
