"""Stateful tests of concurrent fleet writers on a failing store."""

import asyncio

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from support import clocks
from support import fakes
from tests import examples
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller.fleet import model
from wagtailtiller.fleet import writing

_REGION = ids.RegionId("kerala")
_CATALOGUE = examples.catalogue(max_unavailable=2, vms=8)
_VMS = strategies.sampled_from(sorted(_CATALOGUE.vms))
_FAULTS = strategies.lists(strategies.sampled_from(fakes.Fault), max_size=6)
_WAVE = ids.WaveId("wave")


def _commands():
    goals = strategies.sampled_from(
        [fleet.Maintain(_WAVE), fleet.Move(examples.SPARE)]
    )
    generations = strategies.integers(1, 8)
    return strategies.one_of(
        strategies.builds(fleet.BeginLeave, _VMS, goals),
        strategies.builds(fleet.CancelLeave, _VMS),
        strategies.builds(fleet.Drained, _VMS, generations),
        strategies.builds(fleet.Fail, _VMS),
        strategies.builds(fleet.Return, _VMS, strategies.integers(1, 4)),
        strategies.just(fleet.StartWave(_WAVE, examples.POOL, "op")),
    )


class ConcurrentWriters(stateful.RuleBasedStateMachine):
    """Two controllers write concurrently.

    The checks use only the versions recorded by the store.
    """

    def __init__(self):
        super().__init__()
        self.store = fakes.FakeStore()
        self.vms_by_revision = {}
        start = examples.enrolled(_CATALOGUE)
        value = msgspec.json.encode(start)
        self.store.state.write(model.key(_REGION), value, 0, "")
        self.check_history()

    @stateful.rule(
        first=strategies.lists(_commands(), max_size=4),
        second=strategies.lists(_commands(), max_size=4),
        faults=_FAULTS,
    )
    def submit_concurrently(self, first, second, faults):
        """Submit both batches concurrently, with generated store faults."""
        self.store.faults = list(faults)
        asyncio.run(self._submit_both(first, second))
        self.check_history()

    async def _submit_both(self, first, second):
        clock = clocks.FakeClock()
        await asyncio.gather(
            *(
                writing.FleetWriter(self.store, _REGION, clock).submit(
                    lambda _, commands=commands: commands, _CATALOGUE
                )
                for commands in (first, second)
            )
        )

    def check_history(self):
        """Check each new version against the previous one."""
        for item in self.store.state._changes:
            if item.revision in self.vms_by_revision:
                continue
            now = msgspec.json.decode(item.value)["vms"]
            before = self.vms_by_revision.get(item.revision - 1, now)
            self.vms_by_revision[item.revision] = now
            assert set(now) == set(_CATALOGUE.vms)
            for vm, record in now.items():
                self._check_vm(before, now, before[vm], record)

    def _check_vm(self, before, now, old, new):
        if old["state"] == new["state"] and old["pool"] == new["pool"]:
            return
        unavailable_count = sum(
            each["pool"] == new["pool"] and each["state"] != "serving"
            for each in now.values()
        )
        if new["state"] == "stopped":
            assert old["state"] in ("leaving", "serving")
            assert unavailable_count <= 2, "stopped beyond the budget"
        if old["pool"] != new["pool"]:
            assert new["pool"] == examples.SPARE


ConcurrentWriters.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True
)
ConcurrentWritersTest = ConcurrentWriters.TestCase
