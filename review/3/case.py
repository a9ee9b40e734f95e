"""A new version of the configuration sends a queue to another service.

Exit code 1 if an accepted job is answered 410, or if its tasks run again after
they have ended ``done``.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib import site as site_module  # noqa: E402

JOB = "5c0e7a21d94b36f8"
CONFIG_APPLY_S = 2.0
VISIBLE_S = 3.0


async def case(folder, trouble):
    site = site_module.Site(folder)
    routes = {"proofdesk": "proofdesk", "colourhouse": "colourhouse"}
    try:
        await site.start(routes)
        held = True
        assert await site.wait_for(
            lambda: all(site.owner(pool) for pool in site.pools), 10
        )
        await asyncio.sleep(1.0)
        path = site.add_job("proofdesk", site_module.job_body(300), JOB)
        status, _ = await site.call("front-1", "POST", path, site.jobs[JOB])
        assert status == 200, status
        assert await site.wait_for(
            lambda: [row[5] for row in site.runs_of(JOB)] == ["done"] * 2, 10
        )
        await site.call("front-1", "GET", path)
        await asyncio.sleep(1.5)
        if trouble:
            routes["proofdesk"] = "colourhouse"
        site.set_config(routes)
        await asyncio.sleep(CONFIG_APPLY_S + VISIBLE_S)
        for entry in site.addresses:
            status, _ = await site.call(entry, "GET", path)
            if status == 410:
                site.record.add("judge", broken="LOST", entry=entry)
                held = False
        # The request of the accepted job arrives once more.
        await site.call("front-2", "POST", path, site.jobs[JOB])
        await asyncio.sleep(3.0)
        runs = site.runs_of(JOB)
        if len(runs) > 2:
            site.record.add("judge", broken="TWICE", runs=runs)
            held = False
        return held
    finally:
        await site.stop()


if __name__ == "__main__":
    site_module.main(case, FOLDER)
