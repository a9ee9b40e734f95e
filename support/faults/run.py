"""Runs a site's processes under load and seeded faults for ``make faults``.

The seed draws kills, freezes (SIGSTOP, SIGCONT), graceful stops, store outages,
slow calls and lost responses of the store, crashed and poisoned VMs, and waves.
The verdict is based on the records of callers and endpoints. The only requests
that may be lost to their callers are those in flight at a killed gateway.
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

_DEFAULT_ROUNDS = 8
_FAULT_S = 3.0
_RECOVERY_S = 6.0
_MAX_DRAIN_S = 90.0


@dataclasses.dataclass(frozen=True)
class Kill:
    """Kill of a gateway.

    Attributes:
        gateway: Name of the gateway.
        before_ms: Time just before the kill, in Unix milliseconds.
        after_ms: Time after the process has ended, in Unix milliseconds.
    """

    gateway: str
    before_ms: int
    after_ms: int


class FaultInjector:
    """Injects random faults into a running site.

    Args:
        running: Running site.
        seed: Seed of all random choices.

    Attributes:
        kills: Kills of gateways so far.
    """

    def __init__(self, running: cluster.Cluster, seed: int) -> None:
        self._running = running
        self._rng = random.Random(seed)
        self.kills: list[Kill] = []
        self._actions = {
            "kill gateway": self._kill_gateway,
            "kill all gateways": self._kill_all_gateways,
            "stop gateway": self._stop_gateway,
            "freeze gateway": self._freeze_gateway,
            "kill controller": self._kill_controller,
            "freeze controller": self._freeze_controller,
            "store down": self._store_down,
            "store slow": self._store_slow,
            "store loses answers": self._store_loses_responses,
            "crash VM": self._crash_vm,
            "poison VM": self._poison_vm,
            "wave": self._start_wave,
        }

    def begin_round(self) -> str:
        """Inject one or two faults and return their names."""
        count = self._rng.choice((1, 1, 2))
        names = self._rng.sample(sorted(self._actions), count)
        for name in names:
            self._actions[name]()
        return " and ".join(names)

    def end_round(self) -> None:
        """End the faults and restart the processes that have stopped."""
        self._set_store_fault("up")
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

    def _pick_process(self, prefix: str) -> str:
        names = sorted(self._running.processes)
        return self._rng.choice([n for n in names if n.startswith(prefix)])

    def _kill_gateway(self) -> None:
        self._kill(self._pick_process("gw"))

    def _kill_all_gateways(self) -> None:
        for name in list(self._running.gateway_urls):
            self._kill(name)

    def _kill(self, name: str) -> None:
        before_ms = time.time_ns() // 1_000_000
        self._running.signal(name, signal.SIGKILL)
        self._running.processes[name].wait()
        after_ms = time.time_ns() // 1_000_000
        self.kills.append(Kill(name, before_ms, after_ms))

    def _stop_gateway(self) -> None:
        self._running.signal(self._pick_process("gw"), signal.SIGTERM)

    def _freeze_gateway(self) -> None:
        self._running.signal(self._pick_process("gw"), signal.SIGSTOP)

    def _kill_controller(self) -> None:
        self._running.signal(self._pick_process("ctl"), signal.SIGKILL)

    def _freeze_controller(self) -> None:
        self._running.signal(self._pick_process("ctl"), signal.SIGSTOP)

    def _store_down(self) -> None:
        self._set_store_fault("down")

    def _store_slow(self) -> None:
        self._set_store_fault("slow&delay_ms=300")

    def _store_loses_responses(self) -> None:
        self._set_store_fault("lose")

    def _set_store_fault(self, mode: str) -> None:
        cluster.post(f"{self._running.store_url}/fault?mode={mode}")

    def _crash_vm(self) -> None:
        vm = self._rng.choice(sorted(self._running.plan.vm_ports))
        url = self._running.platform_url
        cluster.post(f"{url}/fault?kind=crash&vm={vm}&down_ms=2500")

    def _poison_vm(self) -> None:
        vm = self._rng.choice(sorted(self._running.plan.vm_ports))
        url = self._running.platform_url
        cluster.post(f"{url}/fault?kind=poison&vm={vm}")

    def _start_wave(self) -> None:
        pool = self._rng.choice(sorted(self._running.plan.budget_by_pool))
        self._running.ctl("wave", "start", pool, check=False)


def _in_flight_at_kill(
    call: caller.CallRecord, kills: list[Kill], urls: dict[str, str]
) -> bool:
    """Return whether a request was in flight at a gateway during its kill."""
    return any(
        urls[kill.gateway] == call.gateway
        and call.sent_ms <= kill.after_ms
        and call.ended_ms >= kill.before_ms
        for kill in kills
    )


def _run(
    running: cluster.Cluster, folder: pathlib.Path, seed: int, rounds: int
) -> int:
    duration_s = rounds * (_FAULT_S + _RECOVERY_S)
    callers = run.start_callers(
        run.write_plan(running, folder, duration_s, seed)
    )
    injector = FaultInjector(running, seed)
    for number in range(rounds):
        time.sleep(_RECOVERY_S)
        print(f"round {number + 1}: {injector.begin_round()}")
        sys.stdout.flush()
        time.sleep(_FAULT_S)
        injector.end_round()
    callers.wait()
    running.wait_ready(_MAX_DRAIN_S)
    calls = run.read_calls(folder)
    lost = [call for call in calls if call.outcome is caller.Outcome.LOST]
    at_killed_gateways = [
        call
        for call in lost
        if _in_flight_at_kill(call, injector.kills, running.gateway_urls)
    ]
    for call in at_killed_gateways:
        call.outcome = caller.Outcome.UNKNOWN
    verdict = run.collect(running, calls)
    reason_counts = collections.Counter(
        f"{call.outcome.value}/{call.reason}"
        for call in calls
        if call.outcome is not caller.Outcome.ANSWER
    )
    print(f"reasons: {dict(reason_counts.most_common())}")
    print(_summary_line(verdict, len(at_killed_gateways)))
    for call in lost:
        if call not in at_killed_gateways:
            print(f"lost: {call}")
    return 0 if verdict.clean() else 1


def _summary_line(verdict: oracle.Verdict, at_killed_gateways: int) -> str:
    return (
        f"faults: sent={verdict.sent} answered={verdict.answered}"
        f" not_run={verdict.not_run} unknown={verdict.unknown}"
        f" at_killed_gateways={at_killed_gateways} lost={verdict.lost}"
        f" doubled={verdict.doubled} false_not_run={verdict.false_not_run}"
        f" cut_off={verdict.cut_off} crossed={verdict.crossed}"
        f" budget_breaches={verdict.budget_breaches}"
    )


def main() -> int:
    """Run the faults that the command line selects.

    Returns:
        Exit code; 1 if the oracle finds an error.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=_DEFAULT_ROUNDS)
    parser.add_argument("--site", default="kadalpura")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        plan = site.load(options.site)
        running = cluster.Cluster(plan, folder, gateways=3, controllers=2)
        try:
            running.start()
            return _run(running, folder, options.seed, options.rounds)
        except TimeoutError:
            for log in sorted(folder.glob("*.log")):
                lines = log.read_text(encoding="utf-8").splitlines()
                print(f"--- {log.name}", *lines[-5:], sep="\n")
            raise
        finally:
            running.stop()


if __name__ == "__main__":
    raise SystemExit(main())
