"""Tests of the callers' side."""

import asyncio

import testtools

from support import fakes
from support import jobs
from wagtailtiller import clock
from wagtailtiller.entry import frontend
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import keys
from wagtailtiller.owner import messages
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import admission

_JOB = model.JobId("a" * 16)
_OWNER = "10.0.0.1:1"


class _Directory:
    def __init__(self):
        self.address = _OWNER
        self.store_away = False
        self.declared = catalogue.Catalogue(1, (jobs.queue(),), (), 1_000)

    def catalogue(self):
        return self.declared

    def owner_address(self, pool):
        return self.address

    def own_address(self):
        return "10.0.0.9:1"

    def store_answers(self):
        return not self.store_away


class _Peers:
    def __init__(self):
        self.answers = []
        self.asked = []

    async def ask(self, address, request, timeout_ms):
        self.asked.append(request)
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else None


class FrontendTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = _Directory()
        self.peers = _Peers()
        self.store = fakes.FakeStore()
        self.frontend = frontend.Frontend(
            self.directory, self.peers, self.store, clock.SystemClock()
        )

    def submit(self, timeout_ms=400):
        return asyncio.run(
            self.frontend.submit(jobs.queue(), _JOB, jobs.spec(), timeout_ms)
        )

    def state(self):
        return asyncio.run(self.frontend.state(jobs.queue(), _JOB, 400))

    def test_the_owner_accepts(self):
        self.peers.answers = [messages.Accepted()]
        self.assertEqual(outcomes.Accepted(), self.submit())

    def test_the_owner_s_refusal_is_passed_on_at_once(self):
        reason = admission.RefusalReason.OVERLOADED
        self.peers.answers = [messages.Rejected(reason, 700)]
        self.assertEqual(outcomes.Refused(reason, 700), self.submit())

    def test_without_an_owner_the_job_is_stored_for_the_next_one(self):
        self.directory.address = None
        self.assertEqual(outcomes.Accepted(), self.submit())
        item = self.store.state.item(keys.job(jobs.POOL, _JOB))
        self.assertEqual(_JOB, record.decode(item.value).ok.id)

    def test_a_silent_owner_s_accept_is_found_and_not_doubled(self):
        key = keys.job(jobs.POOL, _JOB)
        stored = record.encode(jobs.job(_JOB))
        self.store.state.write(key, stored, 0, "")
        self.assertEqual(outcomes.Accepted(), self.submit())
        self.assertEqual(stored, self.store.state.item(key).value)

    def test_a_store_that_certainly_did_nothing_means_not_run(self):
        self.directory.address = None
        self.store.refuse_commits = True
        outcome = self.submit()
        self.assertIsInstance(outcome, outcomes.Refused)

    def test_an_uncertain_store_never_means_not_run(self):
        self.directory.address = None
        self.store.faults = [fakes.Fault.LATE] * 50
        self.assertEqual(outcomes.Unknown(), self.submit())

    def test_a_refusal_after_an_unanswered_attempt_is_not_passed_on(self):
        reason = admission.RefusalReason.OVERLOADED
        self.store.faults = [fakes.Fault.LATE] * 50
        rejected = messages.Rejected(reason, 700)
        self.peers.answers = [None] + [rejected] * 50
        self.assertEqual(outcomes.Unknown(), self.submit())

    def test_nothing_is_held_while_owner_and_store_are_away(self):
        self.directory.address = None
        self.directory.store_away = True
        outcome = self.submit(timeout_ms=60_000)
        reason = admission.RefusalReason.STORE_UNAVAILABLE
        self.assertEqual(outcomes.Refused(reason, 1_000), outcome)

    def test_a_job_that_nobody_knows_is_not_there(self):
        self.peers.answers = [messages.State(None)]
        self.assertEqual(outcomes.NoSuchJob(), self.state())

    def test_without_an_owner_the_stored_state_is_told(self):
        self.directory.address = None
        job = jobs.job(_JOB)
        job.cancel(1)
        key = keys.job(jobs.POOL, _JOB)
        self.store.state.write(key, record.encode(job), 0, "")
        expected = outcomes.JobStatus(model.JobState.CANCELLED)
        self.assertEqual(expected, self.state())

    def test_the_longest_prefix_wins(self):
        queue = jobs.queue()
        longer = catalogue.Queue(
            "long", "host", "/proofs/a/", jobs.POOL, 0, 1, 1.0, 0
        )
        self.directory.declared = catalogue.Catalogue(
            1, (queue, longer), (), 1_000
        )
        self.assertEqual(longer, self.frontend.route("HOST:80", "/proofs/a/b"))
        self.assertEqual(queue, self.frontend.route("host", "/proofs/b"))
        missing = self.frontend.route("other", "/proofs/b")
        self.assertEqual(outcomes.NoSuchQueue(), missing)
