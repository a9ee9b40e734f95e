"""Tests of shards and their names in keys."""

from hypothesis import given
from hypothesis import strategies
import testtools

from wagtailtiller import ids
from wagtailtiller.ownership import shard as shard_module

_POOLS = strategies.text(max_size=12) | strategies.sampled_from(
    ("machines", "machines/", "machines//", "Machines")
)
_SHARDS = strategies.just(shard_module.MachinesShard()) | strategies.builds(
    shard_module.PoolShard, _POOLS.map(ids.PoolId)
)


class ShardTest(testtools.TestCase):
    """Guards against a pool that is taken for the machines."""

    @given(_SHARDS)
    def test_the_name_of_a_shard_is_read_back(self, shard):
        self.assertEqual(shard, shard_module.read(shard.key_name))

    @given(_SHARDS, _SHARDS)
    def test_no_two_shards_have_one_name(self, shard, other):
        self.assertEqual(shard == other, shard.key_name == other.key_name)

    def test_names_are_those_of_earlier_versions(self):
        self.assertEqual("machines", shard_module.MachinesShard().key_name)
        pool = shard_module.PoolShard(ids.PoolId("press/plates"))
        self.assertEqual("press/plates", pool.key_name)
