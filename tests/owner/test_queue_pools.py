"""Tests of the copy of the lists of pools."""

import msgspec
import testtools

from support import jobs
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.owner import queue_pools
from wagtailtiller.ports import catalogue
from wagtailtiller.ports import store

_ADDRESS = jobs.queue().address
_RENAMED = catalogue.QueueAddress(ids.QueueId("proofs-2"), _ADDRESS.path)
_OTHER = ids.PoolId("other")
_JOB = "a" * 16


class QueuePoolsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.copy = queue_pools.QueuePools()

    def store_writes(self, address, pool, revision):
        for write in self.copy.writes(address, pool):
            self.copy.update(store.Item(write.key, write.value, revision))

    def test_pools_of_a_path_are_those_of_all_its_names(self):
        self.store_writes(_ADDRESS, jobs.POOL, 1)
        self.assertEqual((jobs.POOL,), self.copy.pools(_RENAMED))
        expected = self.copy.preconditions(_RENAMED, _OTHER, _JOB)
        self.assertEqual(1, expected[keys.path_pools(_ADDRESS.path)])
        self.assertEqual(store.ABSENT, expected[keys.job(jobs.POOL, _JOB)])

    def test_second_job_of_a_pool_has_one_precondition(self):
        """Guards against a price of usual jobs."""
        self.store_writes(_ADDRESS, jobs.POOL, 1)
        self.assertEqual((), self.copy.writes(_ADDRESS, jobs.POOL))
        self.assertEqual(
            {keys.path_pools(_ADDRESS.path): 1},
            self.copy.preconditions(_ADDRESS, jobs.POOL, _JOB),
        )

    def test_list_of_an_earlier_version_counts(self):
        """Guards against jobs that an upgrade loses."""
        key = keys.queue_pools(_ADDRESS.queue)
        value = msgspec.json.encode([_OTHER])
        self.copy.update(store.Item(key, value, 1))
        self.assertEqual((_OTHER,), self.copy.pools(_ADDRESS))
        self.store_writes(_ADDRESS, jobs.POOL, 2)
        self.assertEqual((_OTHER, jobs.POOL), self.copy.pools(_ADDRESS))

    def test_pools_of_a_list_that_is_gone_stay_known(self):
        """Guards against an empty list that takes the place of a lost one."""
        self.store_writes(_ADDRESS, jobs.POOL, 1)
        key = keys.path_pools(_ADDRESS.path)
        self.copy.update(store.Item(key, None, 2))
        self.assertEqual((jobs.POOL,), self.copy.pools(_ADDRESS))
        expected = self.copy.preconditions(_ADDRESS, _OTHER, _JOB)
        self.assertEqual(store.ABSENT, expected[key])
        written = {w.key: w.value for w in self.copy.writes(_ADDRESS, _OTHER)}
        self.assertEqual([jobs.POOL, _OTHER], msgspec.json.decode(written[key]))

    def test_list_that_cannot_be_read_is_not_taken_for_empty(self):
        self.store_writes(_ADDRESS, jobs.POOL, 1)
        key = keys.path_pools(_ADDRESS.path)
        self.assertFalse(self.copy.update(store.Item(key, b"?", 2)))
        self.assertEqual((jobs.POOL,), self.copy.pools(_ADDRESS))
        expected = self.copy.preconditions(_ADDRESS, jobs.POOL, _JOB)
        self.assertEqual(1, expected[key])
