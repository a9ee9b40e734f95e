"""State machine over owners, stale copies, lost answers and limits.

It guards against any order of failures in which a start brings what an
organisation uses above its limit, and against limits that stay unused.
"""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from support import clocks
from support import jobs
from support import limits
from wagtailtiller.jobs import record
from wagtailtiller.jobs import task as task_module
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import allocation
from wagtailtiller.scheduling import commands

_POOLS = ("a", "b", "c")
_ORG = limits.ORGANISATION
_POOL = st.sampled_from(_POOLS)
_TWO_POOLS = st.permutations(_POOLS).map(lambda pools: pools[:2])


class Machine:
    """The VM of one pool, which outlives the pool's owners."""

    def __init__(self):
        self.running = {}
        self.token = 0
        self.ended = []

    def start(self, token, run):
        if token < self.token:
            return False
        if run.task.id not in self.running:
            self.running[run.task.id] = run.number
        return True


@dataclasses.dataclass
class Commit:
    """A transaction that has been sent to the store."""

    pool: str
    epoch: int
    revision: int
    document: allocation.Document


class AllocationMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = clocks.FakeClock()
        self.revision = 0
        self.document = allocation.Document()
        self.delayed = []
        self.version = 1
        self.cores = 20
        self.job_count = 0
        self.machines = {name: Machine() for name in _POOLS}
        self.owners = {}
        self.former = []
        self.epochs = dict.fromkeys(_POOLS, 0)
        for name in _POOLS:
            self.take_over(name)
            self.list_runs(name)

    # Store.

    def apply(self, commit):
        if commit.epoch != self.epochs[commit.pool]:
            return False
        if commit.revision != self.revision:
            return False
        before = self.document.allocated(_ORG).cpu_millicores
        self.document = allocation.decode(allocation.encode(commit.document))
        allocated = self.document.allocated(_ORG).cpu_millicores
        limit = self.document.limits[_ORG].amounts.cpu_millicores
        assert allocated <= max(before, limit), (allocated, before, limit)
        self.revision += 1
        return True

    def read(self, owner):
        owner.allocations.load(self.document, self.revision)

    def declare(self, owner):
        owner.allocations.set_organisations(
            limits.organisations(cores=self.cores), self.version
        )
        owner.known_version = self.version

    # VMs.

    def used(self):
        return sum(len(machine.running) for machine in self.machines.values())

    def known_to_all(self):
        owners = [*self.owners.values(), *self.former]
        return all(owner.known_version == self.version for owner in owners)

    def execute(self, name, owner, run):
        machine = self.machines[name]
        before = self.used()
        executed = machine.start(owner.vm.token, run)
        if self.used() > before and self.known_to_all():
            assert self.used() <= self.cores, (self.used(), self.cores)
        return executed

    def plan(self, name, owner, outcomes):
        for number, command in enumerate(owner.plan()):
            if not isinstance(command, commands.Start):
                continue
            outcome = outcomes[number % len(outcomes)]
            response = vms.CommandOutcome.UNANSWERED
            if outcome != "lost" and self.execute(name, owner, command.run):
                if outcome == "ok":
                    response = vms.CommandOutcome.DONE
            elif outcome == "ok":
                response = vms.CommandOutcome.FENCED
            owner.run_reconciler.apply_start_outcome(
                owner.vm, command.run, response
            )
            if response is vms.CommandOutcome.UNANSWERED:
                owner.vm_tracker.raise_token(owner.vm)

    def list_runs(self, name):
        owner = self.owners[name]
        machine = self.machines[name]
        machine.token = max(machine.token, owner.vm.token)
        self.former = [o for o in self.former if o.pool != name]
        owner.list_runs(set(machine.running.items()), tuple(machine.ended))
        machine.ended = [
            end
            for end in machine.ended
            if end.position > owner.vm.last_end_position
        ]

    def finish(self, name, task, kind):
        machine = self.machines[name]
        number = machine.running.pop(task)
        machine.position = getattr(machine, "position", 0) + 1
        machine.ended.append(
            vms.ListedEnd(machine.position, task, number, kind, "")
        )

    def stop_orphans(self, name):
        """Let the VM carry out the stops that followed a listing."""
        for task in self.owners[name].vm.orphan_tasks:
            if task.id in self.machines[name].running:
                self.finish(name, task.id, task_module.EndKind.STOPPED)

    # Rules.

    @stateful.rule(name=_POOL, count=st.integers(1, 30))
    def submit(self, name, count):
        self.job_count += 1
        self.owners[name].add_job(f"{self.job_count:016d}", jobs.step(count))

    @stateful.rule(name=_POOL)
    def cancel(self, name):
        owner = self.owners[name]
        for entry in list(owner.active.values())[:1]:
            owner.jobs.cancel(entry.job.id)

    @stateful.rule(
        name=_POOL,
        outcomes=st.lists(
            st.sampled_from(["ok", "ok", "lost", "unanswered"]), min_size=1
        ),
    )
    def start(self, name, outcomes):
        self.plan(name, self.owners[name], outcomes)

    @stateful.rule()
    def former_owners_start(self):
        for owner in self.former:
            self.plan(owner.pool, owner, ["ok"])

    @stateful.rule(name=_POOL, count=st.integers(1, 30))
    def end(self, name, count):
        for task in list(self.machines[name].running)[:count]:
            self.finish(name, task, task_module.EndKind.DONE)

    @stateful.rule(name=_POOL, stop=st.booleans())
    def answer(self, name, stop):
        if stop:
            self.stop_orphans(name)
        self.list_runs(name)

    @stateful.rule(
        name=_POOL, fate=st.sampled_from(["ok", "ok", "lost", "late", "answer"])
    )
    def change(self, name, fate):
        """Store a change; its request or its answer may be lost."""
        owner = self.owners[name]
        revision = owner.allocations.revision
        proposal = owner.allocations.propose()
        if proposal is None:
            return
        commit = Commit(name, owner.epoch, revision, proposal)
        if fate == "late":
            self.delayed.append(commit)
        if fate in ("ok", "answer"):
            applied = self.apply(commit)
            if fate == "ok":
                self.read(owner)
            assert applied or revision != self.revision

    @stateful.rule()
    def apply_delayed(self):
        delayed, self.delayed = self.delayed, []
        for commit in delayed:
            self.apply(commit)

    @stateful.rule(name=_POOL)
    def watch(self, name):
        self.read(self.owners[name])

    @stateful.rule(
        cores=st.integers(1, 40), missed=st.integers(0, 1), told=st.booleans()
    )
    def change_limit(self, cores, missed, told):
        self.version += 1 + missed
        self.cores = cores
        if told:
            self.learn_limit_everywhere()

    @stateful.rule(
        names=st.lists(_POOL, min_size=1, unique=True),
        starting=st.sets(_POOL),
        answer=st.booleans(),
        rounds=st.integers(1, 4),
    )
    def work(self, names, starting, answer, rounds):
        """Without failures, some pools get work, and some start it."""
        for name in names:
            if answer:
                self.list_runs(name)
            self.submit(name, 30)
        for _ in range(rounds):
            for name in names:
                self.read(self.owners[name])
                self.change(name, "ok")
                if name in starting:
                    self.start(name, ["ok"])
            self.clock.advance(500)

    @stateful.rule(name=_POOL)
    def learn_limit(self, name):
        self.declare(self.owners[name])

    @stateful.rule(ms=st.sampled_from([10, 500, 3_000, 40_000]))
    def advance(self, ms):
        self.clock.advance(ms)

    @stateful.rule(name=_POOL)
    def take_over(self, name):
        previous = self.owners.get(name)
        self.epochs[name] += 1
        owner = limits.LimitedPool(name, self.clock, self.epochs[name])
        owner.unresolved = {owner.vm.report.vm: self.clock.now_ms + 10**9}
        if previous is not None:
            self.former.append(previous)
            for entry in previous.entries.values():
                copy = record.decode(record.encode(entry.job)).ok
                owner.jobs.add(copy, True, copy.state)
        self.owners[name] = owner
        self.declare(owner)
        self.read(owner)

    @stateful.rule()
    def learn_limit_everywhere(self):
        for owner in (*self.owners.values(), *self.former):
            self.declare(owner)

    @stateful.rule(
        pools=_TWO_POOLS, cores=st.integers(1, 9), stored=st.booleans()
    )
    def lower_under_load(self, pools, cores, stored):
        """One pool uses, and another holds, when the limit is lowered."""
        user, holder = pools
        self.work(pools, {user}, True, 2)
        self.change_limit(cores, 0, True)
        if stored:
            self.change(user, "ok")
            self.read(self.owners[holder])
        self.start(holder, ["ok"])
        self.start(user, ["ok"])

    @stateful.rule(pools=_TWO_POOLS, fate=st.sampled_from(["answer", "late"]))
    def give_away(self, pools, fate):
        """A pool lowers its allocation and does not learn the outcome."""
        giver, taker = pools
        self.learn_limit_everywhere()
        self.work([giver], set(), True, 4)
        self.list_runs(taker)
        self.submit(taker, 30)
        self.read(self.owners[taker])
        self.change(taker, "ok")
        self.read(self.owners[giver])
        self.change(giver, fate)
        self.apply_delayed()
        for _ in range(2):
            self.read(self.owners[taker])
            self.change(taker, "ok")
        self.start(taker, ["ok"])
        self.start(giver, ["ok"])

    @stateful.rule(name=_POOL)
    def calm(self, name):
        """Without failures, one pool soon uses nearly the whole limit."""
        self.apply_delayed()
        for owner in self.owners.values():
            for entry in list(owner.active.values()):
                owner.jobs.cancel(entry.job.id)
            self.declare(owner)
        for _ in range(4):
            for pool in _POOLS:
                self.list_runs(pool)
                self.stop_orphans(pool)
                for task in list(self.machines[pool].running):
                    self.finish(pool, task, task_module.EndKind.STOPPED)
        self.clock.advance(3_000)
        self.submit(name, 100)
        for _ in range(10):
            for pool, owner in self.owners.items():
                self.read(owner)
                self.change(pool, "ok")
                self.start(pool, ["ok"])
            self.clock.advance(500)
        assert self.used() >= 0.9 * self.cores, (self.used(), self.cores)


AllocationMachineTest = AllocationMachine.TestCase
AllocationMachineTest.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
