"""Tests of an overloaded pool, each under one load.

The pools are small, and the rates are those of the peaks on the page of
requirements for a pool of their size or above.
"""

import dataclasses

import hypothesis
from hypothesis import strategies
import testtools

from support import fake_vms
from support import jobs
from support import overload_lab
from wagtailtiller.jobs import model
from wagtailtiller.ports import vms
from wagtailtiller.scheduling import admission
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import cost_order
from wagtailtiller.scheduling import ranking

_SHORT = overload_lab.SHORT
_LARGE = overload_lab.LARGE
# Peak rates of the pages' queues for 8 of 43 VMs.
_VMS = 8
_SHORT_PEAK_PER_S = 4 * 13.7 * _VMS / 43
# What one of four organisations sends, below its weight.
_USUAL_PER_S = 0.7 * _SHORT_PEAK_PER_S / 4
_LARGE_PEAK_PER_S = 4 * 3.5 * _VMS / 43


def _of_kind(lab, kind):
    return [j for j in lab.jobs.values() if j.kind.name == kind.name]


def _value(lab):
    """Return the value that all callers got, relative to that of all jobs."""
    got = 0.0
    possible = 0.0
    for kind in (_SHORT, _LARGE):
        members = _of_kind(lab, kind)
        if members:
            worth = kind.worth * len(members)
            got += worth * overload_lab.score(members).value
            possible += worth
    return got / possible


class LoadTest(testtools.TestCase):
    def run_load(self, arrivals, overload_control=True, seed=1, **options):
        lab = overload_lab.Lab(
            _VMS, [_SHORT, _LARGE], overload_control, seed=seed, **options
        )
        for kind, from_ms, to_ms, per_s in arrivals:
            lab.arrive(kind, from_ms, to_ms, per_s)
        lab.run(max(arrival[2] for arrival in arrivals))
        lab.drain()
        self.check_accepted_jobs_end(lab)
        return lab

    def check_accepted_jobs_end(self, lab):
        for lab_job in lab.jobs.values():
            if lab_job.accepted_ms is not None:
                self.assertIsNotNone(lab_job.ended_ms, lab_job.id)

    def values(self, arrivals, seeds=(1, 2, 3)):
        """Return the mean value by cost and by the rank of each job."""
        return [
            sum(
                _value(self.run_load(arrivals, by_cost, seed)) for seed in seeds
            )
            / len(seeds)
            for by_cost in (True, False)
        ]


class UrgentBurstTest(LoadTest):
    def test_an_urgent_burst_into_a_pool_full_of_large_jobs_is_on_time(self):
        """Guards against urgent jobs that wait behind the large ones."""
        lab = self.run_load(
            [
                (_LARGE, 0, 6_000, 2 * _LARGE_PEAK_PER_S),
                (_SHORT, 3_000, 4_000, _SHORT_PEAK_PER_S),
            ]
        )
        short = _of_kind(lab, _SHORT)
        self.assertGreater(overload_lab.on_time_share(short), 0.7)

    def test_urgent_jobs_that_can_wait_leave_large_ones_on_time(self):
        """Guards against a strict order of the classes.

        The urgent job can wait for 3 s, and the large one must start now.
        """
        now_ms = 100_000
        urgent = _contender("urgent", 0, latest_start_ms=now_ms + 3_000)
        large = _contender("large", 1, latest_start_ms=now_ms + 300)
        placings = ranking.order([urgent, large], now_ms)
        self.assertLess(placings["large"], placings["urgent"])
        self.assertIs(ranking.Group.ON_TIME, placings["urgent"].group)

    def test_a_large_job_is_deferred_rather_than_an_urgent_one_late(self):
        now_ms = 100_000
        urgent = _contender("urgent", 0, latest_start_ms=now_ms + 300)
        large = _contender("large", 1, latest_start_ms=now_ms + 200)
        placings = ranking.order([urgent, large], now_ms)
        self.assertIs(ranking.Group.ON_TIME, placings["urgent"].group)
        self.assertIs(ranking.Group.DEFERRED, placings["large"].group)


class PeakTest(LoadTest):
    def test_a_large_burst_before_a_peak_phase_does_not_fill_the_pool(self):
        """Guards against a peak that finds only work of the burst before it."""
        arrivals = [
            (_LARGE, 0, 2_000, 3 * _LARGE_PEAK_PER_S),
            (_SHORT, 2_000, 7_000, _SHORT_PEAK_PER_S),
        ]
        lab = self.run_load(arrivals)
        short = _of_kind(lab, _SHORT)
        self.assertGreater(overload_lab.on_time_share(short), 0.6)

    def test_two_peaks_that_overlap_are_worth_no_less_than_by_rank(self):
        """Guards against capacity for jobs that end late all the same."""
        arrivals = [
            (_SHORT, 0, 5_000, _SHORT_PEAK_PER_S),
            (_LARGE, 2_500, 7_500, _LARGE_PEAK_PER_S),
        ]
        by_cost, by_rank = self.values(arrivals)
        self.assertGreaterEqual(by_cost, by_rank)

    def test_large_jobs_of_a_queue_are_served_half_as_often_as_all(self):
        """Guards against an order in which only small jobs are served."""
        lab = self.run_load(
            [
                (_SHORT, start_ms, start_ms + 5_000, 1.6 * _SHORT_PEAK_PER_S)
                for start_ms in (0, 20_000, 40_000)
            ]
        )
        result = overload_lab.score(_of_kind(lab, _SHORT))
        self.assertGreaterEqual(result.upper, 0.5 * result.on_time)
        self.assertGreaterEqual(result.top, 0.5 * result.on_time)

    def test_a_rack_that_is_lost_at_the_peak_costs_no_accepted_job(self):
        """Guards against an estimate that counts VMs that do not answer."""
        lab = overload_lab.Lab(_VMS, [_SHORT, _LARGE])
        lab.arrive(_SHORT, 0, 6_000, _SHORT_PEAK_PER_S)
        lab.at(lab.now_ms + 2_000, lambda: lab.lose_rack("r0"))
        lab.at(lab.now_ms + 8_000, lambda: lab.restore_rack("r0"))
        lab.run(1_900)
        capacity = lab.pool.cost_order.capacity(lab.now_ms)
        lab.run(500)
        left = lab.pool.cost_order.capacity(lab.now_ms)
        self.assertEqual(capacity.cpu_millicores // 2, left.cpu_millicores)
        lab.drain()
        self.check_accepted_jobs_end(lab)
        self.assertGreater(
            overload_lab.on_time_share([*lab.jobs.values()]), 0.2
        )


class EstimateTest(LoadTest):
    def test_estimates_that_are_off_by_half_cost_no_accepted_job(self):
        """Guards against jobs that are planned on time again and again."""
        for factor in (0.5, 2.0):
            kind = dataclasses.replace(_SHORT, estimate_factor=factor)
            lab = self.run_load([(kind, 0, 5_000, _SHORT_PEAK_PER_S)])
            # Twice the estimate leaves most jobs late even without a queue.
            self.assertGreater(
                sum(j.ended_ms is not None for j in lab.jobs.values()),
                0.9 * len(lab.jobs),
            )

    def test_the_error_of_estimates_is_learned_from_ended_jobs(self):
        kind = dataclasses.replace(_SHORT, estimate_sigma=0.0)
        lab = self.run_load([(kind, 0, 15_000, 0.3 * _SHORT_PEAK_PER_S)])
        self.assertLess(lab.pool.cost_order.estimate_error.sigma, 0.3)


class HotOrganisationTest(LoadTest):
    def run_day(self, hot_per_s, seed):
        names = [f"org-{number}" for number in range(4)]
        weights = dict.fromkeys(names, _SHORT_PEAK_PER_S / 4)
        lab = overload_lab.Lab(
            _VMS,
            [_SHORT],
            overload_control=True,
            organisations=weights,
            seed=seed,
        )
        for name in names[1:]:
            lab.arrive(_SHORT, 0, 5_000, _USUAL_PER_S, name)
        lab.arrive(_SHORT, 0, 5_000, hot_per_s, names[0])
        lab.run(5_000)
        lab.drain()
        return lab

    def test_a_hot_organisation_within_a_peak_delays_its_own_jobs(self):
        """Guards against one organisation that takes the others' share."""
        days = [self.run_day(7 * _USUAL_PER_S, seed) for seed in (1, 2, 3)]
        calm_days = [self.run_day(_USUAL_PER_S, seed) for seed in (1, 2, 3)]
        others = self.on_time_share(days, is_hot=False)
        calm = self.on_time_share(calm_days, is_hot=False)
        self.assertGreater(others, 0.85 * calm)
        self.assertLess(self.on_time_share(days, is_hot=True), 0.6 * others)

    def test_the_hot_organisation_is_refused_beyond_its_weight(self):
        lab = self.run_day(7 * _USUAL_PER_S, seed=1)
        refused = [job.organisation for _, job, _ in lab.refusals]
        self.assertGreater(len(refused), 20)
        self.assertGreater(refused.count("org-0"), 0.9 * len(refused))
        self.assertEqual(
            {admission.RefusalReason.OVER_SHARE},
            {refusal.reason for _, _, refusal in lab.refusals},
        )

    def on_time_share(self, days, is_hot):
        return overload_lab.on_time_share(
            [
                lab_job
                for lab in days
                for lab_job in lab.jobs.values()
                if (lab_job.organisation == "org-0") is is_hot
            ]
        )

    def test_an_idle_share_is_used_by_a_hot_organisation(self):
        lab = overload_lab.Lab(
            _VMS, [_SHORT], organisations={"hot": 1.0, "idle": 20.0}
        )
        lab.arrive(_SHORT, 0, 5_000, 0.4 * _SHORT_PEAK_PER_S, "hot")
        lab.run(5_000)
        lab.drain()
        self.assertEqual([], lab.refusals)
        share = overload_lab.on_time_share([*lab.jobs.values()])
        self.assertGreater(share, 0.9)


class RefusedCallersTest(LoadTest):
    def overloaded(self):
        lab = overload_lab.Lab(2, [_SHORT, _LARGE])
        lab.arrive(_SHORT, 0, 4_000, 2 * _SHORT_PEAK_PER_S)
        lab.retries = False
        lab.run(4_000)
        return lab

    def test_refused_callers_do_not_return_together(self):
        """Guards against a second overload by those whom the first refused."""
        lab = self.overloaded()
        returns = [
            at_ms + refusal.retry_after_ms for at_ms, _, refusal in lab.refusals
        ]
        self.assertGreater(len(returns), 20)
        by_second = {}
        for return_ms in returns:
            second = return_ms // 1_000
            by_second[second] = by_second.get(second, 0) + 1
        self.assertLess(max(by_second.values()), 0.5 * len(returns))

    def test_a_caller_who_returns_goes_before_a_new_one(self):
        """Guards against a caller who is refused again for later ones."""
        estimate = admission.Estimate(
            wait_ms=5_000, path_ms=800, target_ms=2_000, promised_ms=400
        )
        self.assertGreater(estimate.excess_ms, 0)
        returning = admission.Estimate(
            wait_ms=5_000,
            path_ms=800,
            target_ms=2_000,
            promised_ms=400,
            returning=True,
        )
        self.assertLessEqual(returning.excess_ms, 0)

    def test_the_refused_callers_are_known_when_they_return(self):
        lab = self.overloaded()
        _, lab_job, _ = lab.refusals[-1]
        lab.submit(lab_job)
        _, _, refusal = lab.refusals[-1]
        self.assertEqual(2, lab_job.refusals)
        self.assertTrue(refusal.estimate.returning)

    def test_a_refusal_names_the_inputs_that_decided_it(self):
        lab = self.overloaded()
        _, lab_job, refusal = lab.refusals[-1]
        inputs = refusal.inputs()
        self.assertEqual(lab_job.spec.critical_path_ms(), inputs["path_ms"])
        self.assertGreater(inputs["wait_ms"], inputs["target_ms"])
        self.assertIs(admission.RefusalReason.OVERLOADED, refusal.reason)


_loads = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((_SHORT, _LARGE)),
        strategies.integers(0, 3_000),
        strategies.integers(200, 2_000),
        strategies.floats(0.5, 30.0),
    ),
    min_size=1,
    max_size=3,
)
# Lower than in operation, to keep the test short.
_OVERTAKING_LIMIT = 16
_few_examples = hypothesis.settings(
    max_examples=15,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)


class PropertiesTest(testtools.TestCase):
    def lab(self, loads, vm_count, seed):
        lab = overload_lab.Lab(vm_count, [_SHORT, _LARGE], seed=seed)
        for kind, start_ms, length_ms, per_s in loads:
            lab.arrive(kind, start_ms, start_ms + length_ms, per_s)
        return lab

    @_few_examples
    @hypothesis.given(_loads, strategies.integers(1, 3), strategies.integers())
    def test_no_accepted_job_is_dropped(self, loads, vm_count, seed):
        lab = self.lab(loads, vm_count, seed)
        lab.run(5_000)
        lab.drain()
        for lab_job in lab.jobs.values():
            if lab_job.accepted_ms is not None:
                self.assertIsNotNone(lab_job.ended_ms)

    @_few_examples
    @hypothesis.given(
        _loads,
        strategies.integers(1, 3),
        strategies.integers(),
        strategies.integers(0, 4_000),
    )
    def test_a_job_that_fits_now_is_not_refused(
        self, loads, vm_count, seed, at_ms
    ):
        lab = self.lab(loads, vm_count, seed)
        lab.run(at_ms)
        new_vm = fake_vms.report("vm-new")
        lab.pool.vm_tracker.register(new_vm).status = next(
            iter(lab.pool.vms.values())
        ).status
        small = jobs.spec(jobs.step(4, cpu_millicores=2_000, estimate_ms=50))
        queue = _SHORT.queue()
        self.assertIsNone(lab.pool.jobs.admit(small, queue, model.JobId("new")))

    @_few_examples
    @hypothesis.given(
        _loads,
        strategies.integers(1, 3),
        strategies.integers(),
        strategies.integers(500, 5_000),
        strategies.integers(8_000, 64_000),
        strategies.integers(8_000, 131_072),
    )
    def test_more_free_capacity_never_refuses_more(
        self, loads, vm_count, seed, at_ms, cpu_millicores, memory_mb
    ):
        lab = self.lab(loads, vm_count, seed)
        lab.run(at_ms)
        specs = [
            lab.make_job(kind, lab.now_ms).spec
            for kind in (_SHORT, _LARGE, _SHORT, _LARGE)
        ]
        before = self.admitted(lab, specs)
        report = fake_vms.report(
            "vm-new", capacity=vms.Resources(cpu_millicores, memory_mb)
        )
        vm = lab.pool.vm_tracker.register(report)
        vm.status = next(iter(lab.pool.vms.values())).status
        self.assertLessEqual(before, self.admitted(lab, specs))

    def admitted(self, lab, specs):
        """Return which jobs are admitted, as if each were the only one."""
        found = set()
        for number, spec in enumerate(specs):
            job_id = model.JobId(f"probe-{number}")
            queue = (_SHORT, _LARGE)[number % 2].queue()
            refusal = lab.pool.jobs.admit(spec, queue, job_id)
            if refusal is None:
                found.add(number)
        return found

    @_few_examples
    @hypothesis.given(
        strategies.integers(1, 3),
        strategies.integers(1, 3),
        strategies.integers(20_000, 32_000),
    )
    def test_the_wait_behind_jobs_that_cost_more_is_bounded(
        self, vm_count, older, cpu_millicores
    ):
        """Guards against a large job that small ones keep from its VM."""
        self.patch(cost_order, "OVERTAKING_LIMIT", _OVERTAKING_LIMIT)
        lab = overload_lab.Lab(vm_count, [_SHORT, _LARGE])
        lab.pool.cost_order.order_function = _defer_large
        large = jobs.spec(
            jobs.step(cpu_millicores=cpu_millicores, estimate_ms=300)
        )
        for number in range(older):
            self.submit(lab, f"large-{number}", large)
        small = jobs.spec(jobs.step(8, cpu_millicores=4_000, estimate_ms=300))
        last = f"large-{older - 1}"
        for number in range(10 * _OVERTAKING_LIMIT * older):
            self.submit(lab, f"small-{number:04}", small)
            lab.run(250 // vm_count)
            if last in lab.started:
                break
        overtaking = lab.started.index(last) - (older - 1)
        # The jobs of one plan, and those that start on other VMs until one VM
        # is free.
        margin = 8 * vm_count * older
        self.assertLessEqual(overtaking, older * _OVERTAKING_LIMIT + margin)

    def submit(self, lab, name, spec):
        run_ms = [[step.estimate_ms] * step.task_count for step in spec.steps]
        lab.submit(
            overload_lab.LabJob(
                model.JobId(name), _SHORT, spec, run_ms, "", lab.now_ms
            )
        )


class OffTest(testtools.TestCase):
    def test_without_the_switch_the_order_is_that_of_the_rank(self):
        """Guards against a change for deployments that did not ask for it."""
        lab = overload_lab.Lab(1, [_SHORT, _LARGE], overload_control=False)
        for _ in range(40):
            lab.submit(lab.make_job(_SHORT, lab.now_ms))
        ranks = [
            (ranking.rank(e.job, e.accepted_ms, _SHORT.queue(), lab.now_ms), j)
            for j, e in lab.pool.active.items()
        ]
        first = min(ranks)[1]
        started = [c for c in lab.pool.plan() if isinstance(c, commands.Start)]
        self.assertEqual(first, started[0].run.task.id.job)
        self.assertFalse(lab.pool.cost_order.enabled)


def _contender(name, priority, latest_start_ms, work_ms=1_000.0, loss=1.0):
    return ranking.Contender(
        model.JobId(name),
        ranking.Lateness.ON_TIME,
        priority,
        0,
        latest_start_ms,
        latest_start_ms + 800,
        work_ms,
        loss,
    )


def _defer_large(contenders, now_ms, take_tag):
    """Defer the large jobs always."""
    del now_ms, take_tag
    placings = {}
    for position, contender in enumerate(contenders):
        group = ranking.Group.ON_TIME
        if contender.job.startswith("large"):
            group = ranking.Group.DEFERRED
        placings[contender.job] = ranking.Placing(group, position, 0)
    return placings
