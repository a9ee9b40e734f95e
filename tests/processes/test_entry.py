"""Tests of entry processes on the stand-ins, with killed processes."""

import itertools
import pathlib
import signal
import tempfile
import time

import testtools

from support.demo import entry_site

_TIMEOUT_S = 20.0
_job_ids = (f"{number:016x}" for number in itertools.count(1))


class Shared:
    """Site that all tests of the module share."""

    folder: tempfile.TemporaryDirectory
    site: entry_site.EntrySite


def setUpModule():
    Shared.folder = tempfile.TemporaryDirectory()
    Shared.site = entry_site.EntrySite(pathlib.Path(Shared.folder.name))
    Shared.site.start()


def tearDownModule():
    Shared.site.stop()
    Shared.folder.cleanup()


def _job_body(work_ms=100, count=2, **extra):
    payload = f"work_ms={work_ms}"
    if "fail" in extra:
        payload += f"&fail={extra.pop('fail')}"
    step = {"count": count, "cpu": 500, "mem_mb": 10, "estimate_ms": work_ms}
    return {"spec": payload, "steps": [{**step, **extra}]}


class EntryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = Shared.site

    def submit(self, body, entry="e-0", pool="renders"):
        path = f"/{pool}/{next(_job_ids)}"
        self.wait_until(
            lambda: self.site.call(entry, "POST", path, body)[0] == 200
        )
        return path

    def state(self, path, entry="e-1"):
        return (self.site.call(entry, "GET", path)[1] or {}).get("state")

    def wait_until(self, condition):
        deadline_s = time.monotonic() + _TIMEOUT_S
        while not condition():
            self.assertLess(
                time.monotonic(), deadline_s, "condition not met in time"
            )
            time.sleep(0.05)

    def wait_for_state(self, path, state, entry):
        self.wait_until(lambda: self.state(path, entry) == state)

    def runs(self, path):
        job = path.rpartition("/")[2]
        records = self.site.call_workers("GET", "/records")
        return [r for r in records if r["task"].startswith(job)]

    def assert_no_task_done_twice(self, path):
        done = [r["task"] for r in self.runs(path) if r["how"] == "done"]
        self.assertEqual(sorted(set(done)), sorted(done))

    def owner(self, pool="renders"):
        self.wait_until(lambda: self.site.owner(pool) in self.site.addresses)
        return self.site.owner(pool)

    def other_entry(self, entry):
        return next(name for name in self.site.addresses if name != entry)

    def test_every_entry_process_shows_a_completed_job(self):
        path = self.submit(_job_body(count=4))
        for entry in self.site.addresses:
            self.wait_for_state(path, "completed", entry)
        self.assert_no_task_done_twice(path)
        self.assertEqual(4, len(self.runs(path)))

    def test_repeated_submission_creates_one_job(self):
        path = self.submit(_job_body())
        for entry in self.site.addresses:
            self.assertEqual(
                200, self.site.call(entry, "POST", path, _job_body())[0]
            )
        self.wait_until(lambda: self.state(path) == "completed")
        self.assertEqual(2, len(self.runs(path)))

    def test_cancelled_job_stops(self):
        path = self.submit(_job_body(work_ms=30_000))
        self.wait_until(lambda: len(self.runs(path)) == 2)
        self.assertEqual(200, self.site.call("e-2", "DELETE", path)[0])
        self.wait_until(lambda: all(r["how"] for r in self.runs(path)))
        self.assertEqual("cancelled", self.state(path))

    def test_job_fails_after_its_last_attempt(self):
        path = self.submit(_job_body(count=1, fail=99))
        self.wait_until(lambda: self.state(path) == "failed")
        self.assertEqual(2, len(self.runs(path)))

    def test_unknown_queues_and_jobs_are_rejected(self):
        self.assertEqual(404, self.site.call("e-0", "GET", "/nothing/")[0])
        path = f"/renders/{'f' * 16}"
        self.assertEqual(410, self.site.call("e-0", "GET", path)[0])
        status, body = self.site.call("e-0", "POST", path, {"steps": []})
        self.assertEqual(400, status)
        self.assertIn("spec", body["error"])

    def test_new_owner_continues_the_job_of_a_killed_owner(self):
        owner = self.owner()
        other = self.other_entry(owner)
        path = self.submit(_job_body(work_ms=3_000), entry=other)
        self.wait_until(lambda: len(self.runs(path)) == 2)
        self.site.signal(owner, signal.SIGKILL)
        self.site.processes[owner].wait()
        later_path = self.submit(_job_body(), entry=other)
        self.wait_until(lambda: self.state(path, other) == "completed")
        self.wait_until(lambda: self.state(later_path, other) == "completed")
        self.assert_no_task_done_twice(path)
        self.assertEqual(2, len(self.runs(path)))
        self.site.start_entry(owner)
        self.wait_until(lambda: self.state(path, owner) == "completed")

    def test_stopped_owner_hands_over_and_exits_cleanly(self):
        owner = self.owner("plates")
        other = self.other_entry(owner)
        path = self.submit(_job_body(work_ms=2_000), entry=other, pool="plates")
        self.site.signal(owner, signal.SIGTERM)
        self.wait_until(lambda: self.site.owner("plates") not in (owner, None))
        self.assertEqual(0, self.site.processes[owner].wait(10))
        self.wait_until(lambda: self.state(path, other) == "completed")
        self.assert_no_task_done_twice(path)
        self.site.start_entry(owner)
        self.wait_until(lambda: self.state(path, owner) == "completed")

    def test_wave_completes_and_is_reported(self):
        wave = {
            "wave": 7,
            "machines": ["m-renders-0", "m-plates-1", "m-spare-0"],
            "duration_s": 20,
            "max_count": 1,
        }
        self.site.write_key("op/wave/7", wave)
        self.wait_until(
            lambda: b"completed" in (self.site.read_key("status/wave/7") or b"")
        )

    def test_store_outage_loses_no_job(self):
        path = self.submit(_job_body(work_ms=1_500))
        self.site.set_store_fault("down")
        status, _ = self.site.call(
            "e-1", "POST", f"/renders/{'e' * 16}", _job_body()
        )
        self.assertIn(status, (503, 504))
        time.sleep(1.0)
        self.site.set_store_fault("up")
        self.wait_until(lambda: self.state(path) == "completed")
        self.assert_no_task_done_twice(path)
