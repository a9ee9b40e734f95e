"""The operator adds a machine to a wave that runs.

Exit code 1 if the wave is said to be completed although a machine of it has
not begun its upkeep.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from lib import site as site_module  # noqa: E402


async def case(folder, trouble):
    site = site_module.Site(folder)
    try:
        await site.start()
        assert await site.wait_for(lambda: site.owner("machines"), 10)
        await asyncio.sleep(1.0)
        machines = ["m-proofdesk-0", "m-proofdesk-1"]
        site.set_wave(1, machines, 1)
        await asyncio.sleep(2.0)
        if trouble:
            machines.append("m-colourhouse-1")
            site.set_wave(1, machines, 1)
        completed = await site.wait_for(
            lambda: site.wave_state(1) == "completed", 40
        )
        left = [n for n in machines if 1 not in site.machines[n].upkept]
        site.record.add("judge", state=site.wave_state(1), left=left)
        return completed and not left
    finally:
        await site.stop()


if __name__ == "__main__":
    site_module.main(case, FOLDER)
