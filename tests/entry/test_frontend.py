"""Tests of the frontend."""

import asyncio

from expression import Error
import msgspec
import testtools

from support import fakes
from support import jobs
from support.sim import loop as loop_module
from wagtailtiller import clock
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.entry import frontend
from wagtailtiller.entry import outcomes
from wagtailtiller.jobs import model
from wagtailtiller.jobs import record
from wagtailtiller.owner import messages
from wagtailtiller.owner import queue_pools
from wagtailtiller.ports import catalogue
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import job_memory

_JOB = model.JobId("a" * 16)
_OWNER = "10.0.0.1:1"
_OWN_ADDRESS = "10.0.0.9:1"
_ROUTE = frontend.Route(jobs.queue())
_ORGANISATION = ids.OrganisationId("press")
# Time after which a caller must have its answer.
_CALLER_TIMEOUT_MS = 400
# Long enough for a second attempt.
_RETRIED_TIMEOUT_MS = 3_000


class _Directory:
    def __init__(self):
        self.address = _OWNER
        self.epoch = 1
        self.store_unavailable = False
        self.cut_off = False
        self.local_answers = []
        self.local_requests = []
        self.declared = catalogue.Catalogue(1, (jobs.queue(),), ())
        self.known_pools = queue_pools.QueuePools()
        self.known_pools.listed = True

    def catalogue(self):
        return self.declared

    def queue_pools(self):
        return self.known_pools

    def owner_address(self, pool):
        return self.address

    def is_cut_off(self):
        return self.cut_off

    def owner_epoch(self, pool):
        return self.epoch

    def own_address(self):
        return _OWN_ADDRESS

    async def ask_local(self, request):
        self.local_requests.append(request)
        if not self.local_answers:
            await asyncio.Event().wait()
        return self.local_answers.pop(0)

    def store_answers(self):
        return not self.store_unavailable


class _Peers:
    def __init__(self):
        self.answers = []
        self.requests = []

    async def ask(self, address, request, timeout_ms):
        self.requests.append(request)
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else None


class _FrontendCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = _Directory()
        self.peers = _Peers()
        self.store = fakes.FakeStore()
        self.frontend = frontend.Frontend(
            self.directory, self.peers, self.store, clock.SystemClock()
        )


class UnownedJobsTest(_FrontendCase):
    """Load pattern: many whole jobs of the largest legal size at once.

    Guards against a next owner that takes over more than its memory holds.
    """

    def submit(self, name, spec):
        route = frontend.Route(jobs.queue())
        return asyncio.run(
            self.frontend.submit(route, name * 16, spec, _RETRIED_TIMEOUT_MS)
        )

    def test_large_jobs_wait_for_an_owner_and_others_are_stored(self):
        self.directory.address = None
        self.directory.epoch = 0
        self.frontend = frontend.Frontend(
            self.directory,
            self.peers,
            self.store,
            clock.SystemClock(),
            unowned_jobs=job_memory.UnownedJobs(
                lambda: 2_000_000, 60_000, clock.SystemClock()
            ),
        )
        large = jobs.spec(jobs.step(1_000))
        self.assertIsInstance(self.submit("a", large), outcomes.Accepted)
        refused = self.submit("b", large)
        self.assertEqual(admission.RefusalReason.NO_MEMORY, refused.reason)
        key = keys.job(jobs.POOL, "b" * 16)
        self.assertIsNone(self.store.state.item(key).value)
        self.assertIsInstance(self.submit("c", jobs.spec()), outcomes.Accepted)
        # A repeat of what is stored is not told that it never runs.
        repeated = self.submit("a", large)
        self.assertNotIsInstance(repeated, outcomes.Refused)

    def test_attempts_of_one_submission_count_once(self):
        """Guards against refusals while the store does not answer in time."""
        self.directory.address = None
        self.directory.epoch = 0
        taken = []

        class Counted(job_memory.UnownedJobs):
            def take(self, spec):
                taken.append(spec)
                return super().take(spec)

        self.frontend = frontend.Frontend(
            self.directory,
            self.peers,
            self.store,
            clock.SystemClock(),
            unowned_jobs=Counted(
                lambda: 2_000_000, 60_000, clock.SystemClock()
            ),
        )

        async def unanswered(transaction):
            return Error(errors.StoreUnavailable("no answer"))

        self.store.commit = unanswered
        self.assertIsInstance(self.submit("a", jobs.spec()), outcomes.Unknown)
        self.assertEqual(1, len(taken))


class FrontendTest(_FrontendCase):
    def submit(self, timeout_ms=400):
        return asyncio.run(
            self.frontend.submit(_ROUTE, _JOB, jobs.spec(), timeout_ms)
        )

    def submit_after_naming(self, owner):
        async def main():
            self.frontend.follow(owner)
            return await self.frontend.submit(_ROUTE, _JOB, jobs.spec(), 400)

        return asyncio.run(main())

    def state(self):
        return asyncio.run(self.frontend.job_status(_ROUTE, _JOB, 400))

    def test_job_is_accepted_by_owner(self):
        self.peers.answers = [messages.Accepted()]
        self.assertEqual(outcomes.Accepted(), self.submit())

    def test_refusal_by_owner_is_returned_at_once(self):
        reason = admission.RefusalReason.OVERLOADED
        self.peers.answers = [messages.Rejected(reason, 700)]
        self.assertEqual(outcomes.Refused(reason, 700), self.submit())

    def test_job_for_owner_cut_off_from_store_is_stored_for_successor(self):
        """Load pattern: a third of the VMs is cut off from the store."""
        reason = admission.RefusalReason.STORE_UNAVAILABLE
        self.peers.answers = [messages.Rejected(reason, 700)]
        self.assertEqual(outcomes.Accepted(), self.submit())
        item = self.store.state.item(keys.job(jobs.POOL, _JOB))
        self.assertEqual(_JOB, record.decode(item.value).ok.id)

    def test_job_is_refused_at_once_if_nobody_reaches_store(self):
        reason = admission.RefusalReason.STORE_UNAVAILABLE
        self.peers.answers = [messages.Rejected(reason, 700)]
        self.directory.store_unavailable = True
        self.assertIsInstance(self.submit(), outcomes.Refused)
        self.assertEqual(1, len(self.peers.requests))

    def test_frontend_cut_off_from_all_but_its_callers_refuses_at_once(self):
        """Load pattern: a frontend is cut off from all but its callers.

        Guards against callers that wait for processes that cannot answer.
        """
        self.directory.cut_off = True
        cut_off = outcomes.Refused(admission.RefusalReason.CUT_OFF, 1_000)
        self.assertEqual(cut_off, self.submit(timeout_ms=60_000))
        self.assertEqual(cut_off, self.state())
        self.assertEqual([], self.peers.requests)
        self.assertFalse(self.frontend.is_ready())

    def test_job_that_was_sent_before_the_cut_was_noticed_is_not_refused(self):
        """Guards against a refusal of a job that runs when the cut ends."""
        self.directory.store_unavailable = True
        self.assertEqual(outcomes.Unknown(), self.submit())
        self.directory.cut_off = True
        self.assertEqual(outcomes.Unknown(), self.submit(timeout_ms=60_000))

    def test_job_goes_to_the_owner_that_another_process_names(self):
        """Load pattern: some frontends are cut off from the store only.

        The owner that the frontend knows is cut off as well, and its pool has
        been taken over.
        """
        self.directory.store_unavailable = True
        self.peers.answers = [messages.Accepted()]
        named = messages.KnownOwner(jobs.POOL, "new:1", 2)
        self.assertEqual(outcomes.Accepted(), self.submit_after_naming(named))
        self.assertEqual(2, self.peers.requests[0].epoch)

    def test_an_earlier_owner_that_another_process_names_is_ignored(self):
        """Guards against requests that go back to a replaced owner."""
        self.directory.epoch = 3
        self.peers.answers = [messages.Accepted()]
        named = messages.KnownOwner(jobs.POOL, "old:1", 2)
        self.assertEqual(outcomes.Accepted(), self.submit_after_naming(named))
        self.assertEqual(3, self.peers.requests[0].epoch)

    def test_frontend_is_ready_while_only_the_store_is_away(self):
        """Guards against all frontends leaving together in an outage."""
        self.directory.store_unavailable = True
        self.assertTrue(self.frontend.is_ready())

    def test_frontend_without_configuration_is_not_ready(self):
        self.directory.declared = None
        self.assertFalse(self.frontend.is_ready())

    def test_job_without_owner_is_stored_for_next_owner(self):
        self.directory.address = None
        self.assertEqual(outcomes.Accepted(), self.submit())
        item = self.store.state.item(keys.job(jobs.POOL, _JOB))
        self.assertEqual(_JOB, record.decode(item.value).ok.id)

    def test_job_stored_by_unresponsive_owner_is_not_stored_again(self):
        key = keys.job(jobs.POOL, _JOB)
        stored = record.encode(jobs.job(_JOB))
        self.store.state.write(key, stored, 0, "")
        self.assertEqual(outcomes.Accepted(), self.submit())
        self.assertEqual(stored, self.store.state.item(key).value)

    def test_definite_store_failure_is_a_refusal(self):
        self.directory.address = None
        self.store.refuse_commits = True
        outcome = self.submit()
        self.assertIsInstance(outcome, outcomes.Refused)

    def test_unknown_store_outcome_is_not_a_refusal(self):
        self.directory.address = None
        self.store.faults = [fakes.Fault.DELAYED] * 50
        self.assertEqual(outcomes.Unknown(), self.submit())

    def test_refusal_after_unanswered_attempt_is_not_returned(self):
        reason = admission.RefusalReason.OVERLOADED
        self.store.faults = [fakes.Fault.DELAYED] * 50
        rejected = messages.Rejected(reason, 700)
        self.peers.answers = [None] + [rejected] * 50
        self.assertEqual(outcomes.Unknown(), self.submit())

    def test_job_is_refused_at_once_without_owner_and_store(self):
        self.directory.address = None
        self.directory.store_unavailable = True
        outcome = self.submit(timeout_ms=60_000)
        reason = admission.RefusalReason.STORE_UNAVAILABLE
        self.assertEqual(outcomes.Refused(reason, 1_000), outcome)

    def run_as_owner(self, request):
        """Run a caller's request whose answer must come in time."""
        self.directory.address = _OWN_ADDRESS

        async def main():
            async with asyncio.timeout(_CALLER_TIMEOUT_MS / 1_000):
                return await request

        return asyncio.run(main())

    def test_submission_to_silent_owner_in_process_ends_in_time(self):
        """Guards against callers without an answer at their deadline."""
        outcome = self.run_as_owner(
            self.frontend.submit(_ROUTE, _JOB, jobs.spec(), _CALLER_TIMEOUT_MS)
        )
        self.assertEqual(outcomes.Unknown(), outcome)

    def test_cancellation_by_silent_owner_in_process_ends_in_time(self):
        """Guards against callers without an answer at their deadline."""
        outcome = self.run_as_owner(
            self.frontend.cancel(_ROUTE, _JOB, _CALLER_TIMEOUT_MS)
        )
        self.assertEqual(outcomes.Unknown(), outcome)

    def test_job_is_left_to_silent_owner_in_process(self):
        """Guards against a second writer of a job that the owner may drop."""
        self.run_as_owner(
            self.frontend.submit(_ROUTE, _JOB, jobs.spec(), _CALLER_TIMEOUT_MS)
        )
        item = self.store.state.item(keys.job(jobs.POOL, _JOB))
        self.assertIsNone(item.value)

    def test_owner_in_process_is_asked_again(self):
        """Guards against an attempt that takes all of the caller's time."""
        self.directory.address = _OWN_ADDRESS

        async def main():
            submission = asyncio.create_task(
                self.frontend.submit(
                    _ROUTE, _JOB, jobs.spec(), _RETRIED_TIMEOUT_MS
                )
            )
            await asyncio.sleep(0.1)
            self.directory.local_answers = [messages.Accepted()]
            async with asyncio.timeout(_RETRIED_TIMEOUT_MS / 1_000):
                return await submission

        self.assertEqual(outcomes.Accepted(), asyncio.run(main()))
        self.assertEqual(2, len(self.directory.local_requests))

    def test_refusal_after_silence_of_owner_in_process_is_not_returned(self):
        """Guards against a refused job that is stored after all."""
        self.directory.address = _OWN_ADDRESS
        rejected = messages.Rejected(admission.RefusalReason.OVERLOADED, 700)

        async def main():
            submission = asyncio.create_task(
                self.frontend.submit(_ROUTE, _JOB, jobs.spec(), 1_200)
            )
            await asyncio.sleep(0.1)
            self.directory.local_answers = [rejected] * 50
            async with asyncio.timeout(_RETRIED_TIMEOUT_MS / 1_000):
                return await submission

        self.assertEqual(outcomes.Unknown(), asyncio.run(main()))

    def test_unknown_job_is_not_found(self):
        self.peers.answers = [messages.State(None)]
        self.assertEqual(outcomes.NoSuchJob(), self.state())

    def test_state_without_owner_is_read_from_store(self):
        self.directory.address = None
        job = jobs.job(_JOB)
        job.cancel(1)
        key = keys.job(jobs.POOL, _JOB)
        self.store.state.write(key, record.encode(job), 0, "")
        expected = outcomes.JobStatus(model.JobState.CANCELLED)
        self.assertEqual(expected, self.state())

    def test_route_prefers_longest_prefix(self):
        queue = jobs.queue()
        longer = catalogue.Queue(
            "long", "host", "/proofs/a/", jobs.POOL, 0, 1, 1.0, 0
        )
        self.directory.declared = catalogue.Catalogue(1, (queue, longer), ())
        found = self.frontend.route("HOST:80", "/proofs/a/b", None)
        self.assertEqual(frontend.Route(longer), found)
        found = self.frontend.route("host", "/proofs/b", None)
        self.assertEqual(frontend.Route(queue), found)
        missing = self.frontend.route("other", "/proofs/b", None)
        self.assertEqual(outcomes.NoSuchQueue(), missing)


class OwnerChangeTest(_FrontendCase):
    """Tests of submissions whose owner changes or cannot be reached."""

    def setUp(self):
        super().setUp()
        self.later_owner = "10.0.0.2:1"

    def replace_owner(self, epoch=2):
        self.directory.address = self.later_owner
        self.directory.epoch = epoch

    def submit(self, later_answer, act, silent_ask_s=60):
        """Submit a job; return the outcome and the time it took.

        The first owner does not answer, the later one gives ``later_answer``.
        """
        self.asked = []

        async def ask(address, request, timeout_ms):
            self.asked.append((address, request.epoch))
            if address == self.later_owner:
                return later_answer
            await asyncio.sleep(min(silent_ask_s, timeout_ms / 1_000))
            return None

        self.peers.ask = ask

        async def main():
            loop = asyncio.get_running_loop()
            self.frontend = frontend.Frontend(
                self.directory,
                self.peers,
                self.store,
                loop_module.VirtualClock(loop),
            )
            acting = asyncio.create_task(act())
            started_s = loop.time()
            outcome = await self.frontend.submit(
                _ROUTE, _JOB, jobs.spec(), _RETRIED_TIMEOUT_MS
            )
            acting.cancel()
            return outcome, loop.time() - started_s

        return loop_module.run(main())

    async def replace_owner_soon(self, delay_s=0.2):
        await asyncio.sleep(delay_s)
        self.replace_owner()
        self.frontend.on_owner_change(jobs.POOL)

    async def do_nothing(self):
        pass

    def test_new_owner_is_asked_at_once(self):
        """Guards against a wait for an owner that has been replaced."""
        outcome, took_s = self.submit(
            messages.Accepted(), self.replace_owner_soon
        )
        self.assertEqual(outcomes.Accepted(), outcome)
        self.assertLess(took_s, 0.25)
        self.assertEqual([(_OWNER, 1), (self.later_owner, 2)], self.asked)

    def test_refusal_by_new_owner_is_returned_at_once(self):
        """Guards against a definite refusal that is held to the deadline."""
        reason = admission.RefusalReason.OVERLOADED
        outcome, took_s = self.submit(
            messages.Rejected(reason, 700), self.replace_owner_soon
        )
        self.assertEqual(outcomes.Refused(reason, 700), outcome)
        self.assertLess(took_s, 0.25)

    def test_refusal_after_unknown_write_of_own_is_not_returned(self):
        """Guards against a refused job that is stored after all."""
        self.store.faults = [fakes.Fault.DELAYED]
        reason = admission.RefusalReason.OVERLOADED
        outcome, _ = self.submit(
            messages.Rejected(reason, 700),
            lambda: self.replace_owner_soon(0.8),
        )
        self.assertEqual(outcomes.Unknown(), outcome)

    def test_refusal_without_the_store_after_silence_is_not_returned(self):
        """Guards against a refused job that the first owner has stored."""
        self.directory.store_unavailable = True
        reason = admission.RefusalReason.STORE_UNAVAILABLE
        outcome, _ = self.submit(
            messages.Rejected(reason, 700), self.replace_owner_soon
        )
        self.assertEqual(outcomes.Unknown(), outcome)

    def test_known_owner_is_asked_without_the_store(self):
        """Load pattern: a third of the VMs is cut off from the store."""
        self.directory.store_unavailable = True
        self.replace_owner()
        outcome, took_s = self.submit(messages.Accepted(), self.do_nothing)
        self.assertEqual(outcomes.Accepted(), outcome)
        self.assertLess(took_s, 0.1)

    def test_owner_named_by_the_previous_one_is_asked(self):
        """Guards against a frontend that is cut off while a pool moves."""
        self.directory.store_unavailable = True
        self.asked = []

        async def ask(address, request, timeout_ms):
            self.asked.append((address, request.epoch))
            if address == self.later_owner:
                return messages.Accepted()
            return messages.NotOwner(self.later_owner, 2)

        self.peers.ask = ask
        for _ in range(2):
            outcome = asyncio.run(
                self.frontend.submit(_ROUTE, _JOB, jobs.spec(), 400)
            )
            self.assertEqual(outcomes.Accepted(), outcome)
        self.assertEqual(
            [_OWNER, self.later_owner, self.later_owner],
            [address for address, _ in self.asked],
        )

    def test_owner_of_an_earlier_epoch_is_not_followed(self):
        """Guards against processes that name one another."""
        self.replace_owner(epoch=5)
        outcome, _ = self.submit(messages.NotOwner(_OWNER, 4), self.do_nothing)
        self.assertEqual(outcomes.Accepted(), outcome)
        self.assertEqual({self.later_owner}, {a for a, _ in self.asked})

    def test_job_is_refused_soon_if_nobody_owns_its_pool(self):
        """Guards against a refusal that is held to the caller's timeout."""
        self.directory.store_unavailable = True
        self.replace_owner()
        outcome, took_s = self.submit(messages.NotOwner(), self.do_nothing)
        self.assertIsInstance(outcome, outcomes.Refused)
        self.assertLess(took_s, 1)

    def test_job_is_stored_if_its_owner_is_not_ready_for_long(self):
        """Guards against callers that wait for a delayed takeover."""
        self.replace_owner()
        outcome, took_s = self.submit(messages.NotOwner(), self.do_nothing)
        self.assertEqual(outcomes.Accepted(), outcome)
        self.assertLess(took_s, 1)
        item = self.store.state.item(keys.job(jobs.POOL, _JOB))
        self.assertEqual(_JOB, record.decode(item.value).ok.id)


class OrganisationTest(_FrontendCase):
    """Tests of requests that carry API keys of organisations."""

    def setUp(self):
        super().setUp()
        self.declare(1, ("old-key",))

    def declare(self, version, api_keys, public=False):
        queue = msgspec.structs.replace(jobs.queue(), public=public)
        self.directory.declared = catalogue.Catalogue(
            version,
            (queue,),
            (),
            organisations={},
            organisations_by_key={
                catalogue.digest(key): _ORGANISATION for key in api_keys
            },
        )

    def find(self, api_key):
        found = self.frontend.route("host", "/proofs/a", api_key)
        return getattr(found, "organisation", found)

    def test_only_known_keys_are_served(self):
        """Guards against requests that run without a valid key."""
        self.assertEqual(_ORGANISATION, self.find("old-key"))
        self.assertEqual(outcomes.Unauthenticated(), self.find("guessed"))
        self.assertEqual(outcomes.Unauthenticated(), self.find(None))

    def test_public_queue_needs_no_key(self):
        self.declare(1, (), public=True)
        self.assertEqual(catalogue.NO_ORGANISATION, self.find(None))
        self.assertEqual(catalogue.NO_ORGANISATION, self.find("guessed"))

    def test_configuration_without_organisations_needs_no_key(self):
        self.directory.declared = catalogue.Catalogue(1, (jobs.queue(),), ())
        self.assertEqual(catalogue.NO_ORGANISATION, self.find(None))

    def test_key_withdrawn_between_requests_of_a_peak(self):
        """Guards against a key that is served after its withdrawal."""
        self.declare(2, ("new-key",))
        self.assertEqual(outcomes.Unauthenticated(), self.find("old-key"))
        self.assertEqual(_ORGANISATION, self.find("new-key"))

    def test_stored_job_is_hidden_from_other_organisations(self):
        """Guards against members who see one another's orders."""
        job = jobs.job(_JOB)
        job.organisation = _ORGANISATION
        key = keys.job(jobs.POOL, _JOB)
        self.store.state.write(key, record.encode(job), 0, "")
        self.directory.address = None
        route = frontend.Route(jobs.queue(), ids.OrganisationId("other"))
        outcome = asyncio.run(self.frontend.job_status(route, _JOB, 400))
        self.assertEqual(outcomes.NoSuchJob(), outcome)
        outcome = asyncio.run(
            self.frontend.submit(route, _JOB, jobs.spec(), 400)
        )
        self.assertEqual(outcomes.IdInUse(), outcome)
        own_route = frontend.Route(jobs.queue(), _ORGANISATION)
        outcome = asyncio.run(self.frontend.job_status(own_route, _JOB, 400))
        self.assertEqual(outcomes.JobStatus(model.JobState.QUEUED), outcome)


class WithdrawnJobTest(_FrontendCase):
    """Guards against a job that is stored after its cancelling was answered."""

    def setUp(self):
        super().setUp()
        self.key = keys.job(jobs.POOL, _JOB)

    def cancel(self, pool=jobs.POOL, answers=()):
        """Cancel the job, whose pool's owner does not know it at first."""
        self.peers.answers = [messages.State(None), *answers]
        queue = msgspec.structs.replace(jobs.queue(), pool=pool)
        return self.frontend.cancel(
            frontend.Route(queue), _JOB, _RETRIED_TIMEOUT_MS
        )

    def submit(self, timeout_ms=_CALLER_TIMEOUT_MS):
        return self.frontend.submit(_ROUTE, _JOB, jobs.spec(), timeout_ms)

    def stored(self):
        return record.decode(self.store.state.item(self.key).value).ok

    def store_late(self):
        """Let a request time out whose job is stored later."""
        self.store.faults = [fakes.Fault.DELAYED] * 20
        self.assertEqual(outcomes.Unknown(), asyncio.run(self.submit()))
        self.store.faults = []

    def test_late_write_does_not_store_a_cancelled_job(self):
        self.store_late()
        self.assertEqual(outcomes.NoSuchJob(), asyncio.run(self.cancel()))
        self.store.apply_delayed()
        self.assertTrue(self.stored().is_withdrawn)

    def test_withdrawn_job_is_not_shown_and_not_accepted_again(self):
        async def main():
            self.assertEqual(outcomes.NoSuchJob(), await self.cancel())
            state = await self.frontend.job_status(_ROUTE, _JOB, 400)
            self.assertEqual(outcomes.NoSuchJob(), state)
            refused = await self.submit(_RETRIED_TIMEOUT_MS)
            self.assertEqual(admission.RefusalReason.WITHDRAWN, refused.reason)
            self.assertEqual(outcomes.NoSuchJob(), await self.cancel())

        asyncio.run(main())

    def test_job_that_is_stored_during_the_cancelling_is_cancelled(self):
        async def main():
            read_key = self.store.read_key

            async def store_after_reading(key):
                found = await read_key(key)
                self.store.apply_delayed()
                return found

            self.store.read_key = store_after_reading
            outcome = await self.cancel(answers=[messages.Accepted()])
            self.assertEqual(outcomes.Accepted(), outcome)
            self.assertFalse(self.stored().is_withdrawn)

        self.store_late()
        asyncio.run(main())

    def test_late_write_to_a_former_pool_does_not_store_the_job(self):
        """The cancelling comes from a process with a newer configuration."""

        async def main():
            outcome = await self.cancel(ids.PoolId("colours"))
            self.assertEqual(outcomes.NoSuchJob(), outcome)
            self.store.apply_delayed()
            self.assertIsNone(self.store.state.item(self.key).value)

        self.store_late()
        asyncio.run(main())

    def test_cancelling_is_not_answered_while_the_store_is_silent(self):
        async def main():
            self.store.faults = [fakes.Fault.NONE]
            self.store.faults += [fakes.Fault.REQUEST_LOST] * 100
            self.assertEqual(outcomes.Unknown(), await self.cancel())

        asyncio.run(main())

    def test_usual_cancelling_makes_no_call_to_the_store(self):
        self.peers.answers = [messages.Accepted()]
        self.store.faults = [fakes.Fault.NONE]
        cancelled = self.frontend.cancel(_ROUTE, _JOB, _RETRIED_TIMEOUT_MS)
        self.assertEqual(outcomes.Accepted(), asyncio.run(cancelled))
        self.assertEqual(1, len(self.store.faults))
