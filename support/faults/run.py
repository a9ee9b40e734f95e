"""``make faults``: a site's processes under load and seeded faults.

Kills, freezes (SIGSTOP, SIGCONT), graceful stops, store outages, slowness and
lost answers, crashed and poisoned VMs, and waves are drawn from the seed. The
verdict comes from the callers' and the endpoints' records. Requests in
flight at a killed gateway are lost to their callers; that alone is allowed.
"""

import argparse
import collections
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time

from support.demo import caller
from support.demo import cluster
from support.demo import oracle
from support.demo import run
from support.demo import site

_ROUNDS = 8
_ROUND_S = 3.0
_SETTLE_S = 6.0
_LONGEST_DRAIN_S = 90.0


@dataclasses.dataclass(frozen=True)
class Kill:
    """A gateway's death, between two readings of the wall clock."""

    gateway: str
    before_ms: int
    after_ms: int


class Faults:
    """Draws and applies faults to a running site.

    Args:
        running: The site.
        seed: Draws the faults.
    """

    def __init__(self, running: cluster.Cluster, seed: int) -> None:
        self._running = running
        self._random = random.Random(seed)
        self.killed: list[Kill] = []
        self._actions = {
            "kill gateway": self._kill_gateway,
            "kill all gateways": self._kill_all_gateways,
            "stop gateway": self._stop_gateway,
            "freeze gateway": self._freeze_gateway,
            "kill controller": self._kill_controller,
            "freeze controller": self._freeze_controller,
            "store down": self._store_down,
            "store slow": self._store_slow,
            "store loses answers": self._store_loses,
            "crash VM": self._crash_vm,
            "poison VM": self._poison_vm,
            "wave": self._wave,
        }

    def round(self) -> str:
        """Apply one or two faults and return their names."""
        count = self._random.choice((1, 1, 2))
        names = self._random.sample(sorted(self._actions), count)
        for name in names:
            self._actions[name]()
        return " and ".join(names)

    def heal(self) -> None:
        """End the faults of a round."""
        self._store("up")
        for name, process in self._running.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            elif name.startswith("gw"):
                self._running.start_gateway(name)
            elif name.startswith("ctl"):
                self._running.start_controller(name)
        vms = ",".join(self._running.plan.vm_ports)
        url = self._running.platform_url
        cluster.post(f"{url}/fault?kind=cure&vm={vms}")

    def _pick(self, prefix: str) -> str:
        names = sorted(self._running.processes)
        return self._random.choice([n for n in names if n.startswith(prefix)])

    def _kill_gateway(self) -> None:
        self._kill(self._pick("gw"))

    def _kill_all_gateways(self) -> None:
        for name in list(self._running.gateway_urls):
            self._kill(name)

    def _kill(self, name: str) -> None:
        before_ms = time.time_ns() // 1_000_000
        self._running.signal(name, signal.SIGKILL)
        self._running.processes[name].wait()
        after_ms = time.time_ns() // 1_000_000
        self.killed.append(Kill(name, before_ms, after_ms))

    def _stop_gateway(self) -> None:
        self._running.signal(self._pick("gw"), signal.SIGTERM)

    def _freeze_gateway(self) -> None:
        self._running.signal(self._pick("gw"), signal.SIGSTOP)

    def _kill_controller(self) -> None:
        self._running.signal(self._pick("ctl"), signal.SIGKILL)

    def _freeze_controller(self) -> None:
        self._running.signal(self._pick("ctl"), signal.SIGSTOP)

    def _store_down(self) -> None:
        self._store("down")

    def _store_slow(self) -> None:
        self._store("slow&delay_ms=300")

    def _store_loses(self) -> None:
        self._store("lose")

    def _store(self, mode: str) -> None:
        cluster.post(f"{self._running.store_url}/fault?mode={mode}")

    def _crash_vm(self) -> None:
        vm = self._random.choice(sorted(self._running.plan.vm_ports))
        url = self._running.platform_url
        cluster.post(f"{url}/fault?kind=crash&vm={vm}&down_ms=2500")

    def _poison_vm(self) -> None:
        vm = self._random.choice(sorted(self._running.plan.vm_ports))
        url = self._running.platform_url
        cluster.post(f"{url}/fault?kind=poison&vm={vm}")

    def _wave(self) -> None:
        pool = self._random.choice(sorted(self._running.plan.pools))
        self._running.ctl("wave", "start", pool, check=False)


def _excused(
    call: caller.CallRecord, killed: list[Kill], urls: dict[str, str]
) -> bool:
    """Whether a lost request was in flight at a gateway that was killed."""
    return any(
        urls[kill.gateway] == call.gateway
        and call.sent_ms <= kill.after_ms
        and call.ended_ms >= kill.before_ms
        for kill in killed
    )


def _drill(
    running: cluster.Cluster, folder: pathlib.Path, seed: int, rounds: int
) -> int:
    duration_s = rounds * (_ROUND_S + _SETTLE_S)
    callers = run.start_callers(
        run.load_plan(running, folder, duration_s, seed)
    )
    faults = Faults(running, seed)
    for number in range(rounds):
        time.sleep(_SETTLE_S)
        print(f"round {number + 1}: {faults.round()}")
        sys.stdout.flush()
        time.sleep(_ROUND_S)
        faults.heal()
    callers.wait()
    running.wait_ready(_LONGEST_DRAIN_S)
    calls = run.read_calls(folder)
    lost = [each for each in calls if each.outcome is caller.Outcome.LOST]
    excused = [
        each
        for each in lost
        if _excused(each, faults.killed, running.gateway_urls)
    ]
    for each in excused:
        each.outcome = caller.Outcome.UNKNOWN
    verdict = run.collect(running, calls)
    reasons = collections.Counter(
        f"{call.outcome.value}/{call.reason}"
        for call in calls
        if call.outcome is not caller.Outcome.ANSWER
    )
    print(f"reasons: {dict(reasons.most_common())}")
    print(_last_line(verdict, len(excused)))
    for call in lost:
        if call not in excused:
            print(f"lost: {call}")
    return 0 if verdict.clean() else 1


def _last_line(verdict: oracle.Verdict, excused: int) -> str:
    return (
        f"faults: sent={verdict.sent} answered={verdict.answered}"
        f" not_run={verdict.not_run} unknown={verdict.unknown}"
        f" at_killed_gateways={excused} lost={verdict.lost}"
        f" doubled={verdict.doubled} false_not_run={verdict.false_not_run}"
        f" cut_off={verdict.cut_off} crossed={verdict.crossed}"
        f" budget_breaches={verdict.budget_breaches}"
    )


def main() -> int:
    """Run the drill that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=_ROUNDS)
    parser.add_argument("--site", default="kadalpura")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        plan = site.load(options.site)
        running = cluster.Cluster(plan, folder, gateways=3, controllers=2)
        try:
            running.start()
            return _drill(running, folder, options.seed, options.rounds)
        except TimeoutError:
            for log in sorted(folder.glob("*.log")):
                lines = log.read_text(encoding="utf-8").splitlines()
                print(f"--- {log.name}", *lines[-5:], sep="\n")
            raise
        finally:
            running.stop()


if __name__ == "__main__":
    raise SystemExit(main())
