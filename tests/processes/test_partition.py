"""Test of an entry process that is cut off together with VMs."""

import pathlib
import tempfile
import time

import testtools

from support.demo import entry_site
from support.faults import task_runs

_POOL = "renders"
# A former owner may command VMs until 6 s after the last renewal of its lease.
_CUT_S = 6.0
# One task outlasts the leases of the VMs by the clock of the former owner, the
# other ends before.
_WORK_MS = (7_500, 4_500)
_TIMEOUT_S = 20.0


def _job_body(work_ms):
    # A task takes more than half of a VM, so that each is on a VM of its own.
    step = {"count": 1, "cpu": 20_000, "mem_mb": 10, "estimate_ms": work_ms}
    return {"spec": f"work_ms={work_ms}", "steps": [step]}


class PartitionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = entry_site.EntrySite(
            pathlib.Path(folder.name), entries=3, machines=4
        )
        self.addCleanup(self.site.stop)
        self.site.start()

    def wait_until(self, condition):
        deadline_s = time.monotonic() + _TIMEOUT_S
        while not condition():
            self.assertLess(
                time.monotonic(), deadline_s, "condition not met in time"
            )
            time.sleep(0.05)

    def submit(self, entry, path, work_ms):
        body = _job_body(work_ms)
        self.wait_until(
            lambda: self.site.call(entry, "POST", path, body)[0] == 200
        )

    def state(self, path, entry):
        return (self.site.call(entry, "GET", path)[1] or {}).get("state")

    def test_owner_cut_off_with_idle_vms_starts_no_task_again(self):
        owner = self.site.wait_for_owner(_POOL)
        entry = next(name for name in self.site.addresses if name != owner)
        work_ms_by_path = {
            f"/{_POOL}/{work_ms:016x}": work_ms for work_ms in _WORK_MS
        }
        for path, work_ms in work_ms_by_path.items():
            self.submit(entry, path, work_ms)
        self.wait_until(lambda: len(self.site.records()) == len(_WORK_MS))
        idle = self.site.idle_machines(_POOL)
        self.assertEqual(2, len(idle))
        self.site.cut_off([owner], idle)
        time.sleep(_CUT_S)
        self.assertNotIn(self.site.owner(_POOL), (owner, None))
        self.site.restore()
        for path in work_ms_by_path:
            self.wait_until(
                lambda path=path: self.state(path, entry) == "completed"
            )
        records = self.site.records()
        self.assertEqual([], task_runs.find_overlapping(records))
        self.assertEqual([], task_runs.find_started_after_done(records))
