"""Tests of the keys of the system's own state."""

from hypothesis import given
from hypothesis import strategies
import msgspec
import testtools

from support import jobs
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.jobs import model

_JOB = model.JobId("a" * 16)
_NAMES = strategies.text(max_size=20) | strategies.text("/%2Fa", max_size=6)


def _queue(name):
    return msgspec.structs.replace(
        jobs.queue(), queue=name, host=name, prefix=f"/{name}/"
    )


class KeysTest(testtools.TestCase):
    """Guards against names that are read as a part of another key."""

    @given(_NAMES)
    def test_a_segment_is_read_back(self, name):
        self.assertNotIn("/", keys.segment(name))
        self.assertEqual(name, keys.name(keys.segment(name)))

    @given(_NAMES)
    def test_the_key_of_a_job_is_read_back(self, pool):
        key = keys.job(ids.PoolId(pool), _JOB)
        self.assertEqual((pool, _JOB), keys.read_job(key))

    @given(_NAMES, _NAMES)
    def test_no_pool_reads_the_jobs_of_another(self, pool, other):
        key = keys.job(ids.PoolId(other), _JOB)
        is_read = key.startswith(keys.jobs(ids.PoolId(pool)))
        self.assertEqual(pool == other, is_read)

    def test_usual_names_have_the_keys_of_earlier_versions(self):
        for name in ("proofs", "r-74u83y5", "ä b+c&d:e", "Tave_40.b"):
            pool = ids.PoolId(name)
            self.assertEqual(f"wagtail/jobs/{name}/", keys.jobs(pool))
            self.assertEqual(keys.unescaped_jobs(pool), keys.jobs(pool))

    def test_a_name_that_is_too_long_is_told(self):
        queue = jobs.queue()
        self.assertEqual("", keys.too_long(queue))
        longest = msgspec.structs.replace(queue, pool="p" * 170)
        self.assertEqual("", keys.too_long(longest))
        too_long = msgspec.structs.replace(queue, pool="p" * 171)
        self.assertIn("makes a key of 201 bytes", keys.too_long(too_long))
        escaped = msgspec.structs.replace(queue, pool="/" * 60)
        self.assertIn("210 bytes", keys.too_long(escaped))

    @given(strategies.text(min_size=150, max_size=250))
    def test_lists_of_long_names_have_keys_of_their_own(self, name):
        for key in (keys.queue_pools(name), keys.path_pools(name)):
            self.assertLessEqual(len(key.encode()), 200)
        other = f"{name}x"
        self.assertNotEqual(keys.path_pools(name), keys.path_pools(other))
        self.assertEqual("", keys.too_long(_queue(name)))
