"""Callers: a bursty load through the gateways, each request recorded.

Every queue in turn bursts to five times its mean rate, then falls to a
twentieth. A request goes to a healthy gateway picked at random, as a balancer
would; a refused connection is tried at another one, since nothing was sent.
"""

import argparse
import asyncio
import enum
import json
import pathlib
import random
import signal
import time
from typing import Any

import aiohttp
import msgspec

from wagtailtiller import runtime

_HEALTH_PERIOD_S = 0.1
_BURST_FACTOR = 5.0
_LULL_FACTOR = 0.05
_BURST_END = 0.2
_LULL_END = 0.4
_CALM_FACTOR = 0.5
_TRIES = 5


class Outcome(enum.Enum):
    """What the caller was told."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    INVALID = "invalid"
    LOST = "lost"


class CallRecord(msgspec.Struct):
    """One request as its caller saw it; times in wall-clock milliseconds."""

    caller: str
    queue: str
    member: str
    idempotent: bool
    gateway: str
    sent_ms: int
    deadline_ms: int
    ended_ms: int = 0
    outcome: Outcome = Outcome.LOST
    reason: str = ""
    crossed: bool = False


class Plan(msgspec.Struct):
    """What a caller process is told.

    Attributes:
        gateways: Their URLs.
        queues: Queue, tokens, members and idempotency of each queue.
        mean_per_s: Mean requests a second of each queue.
        work_ms: The median work of a request.
        period_s: The time of one burst and its lull.
        duration_s: How long to send.
        seed: Seeds every choice.
        output: Where the records go.
        weights: How often each gateway is picked; equal when empty.
        keys: Whether to send idempotency keys.
    """

    gateways: list[str]
    queues: list[dict[str, Any]]
    mean_per_s: float
    work_ms: float
    period_s: float
    duration_s: float
    seed: int
    output: str
    weights: list[float] = []
    keys: bool = True


class Callers:
    """All callers of a site."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._healthy = set(plan.gateways)
        self._records: list[CallRecord] = []
        self._stopping = asyncio.Event()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._session._retry_connection = False

    async def run(self) -> None:
        """Send for the planned time and write the records."""
        health = asyncio.create_task(self._watch_health())
        senders = [
            asyncio.create_task(self._load(index, queue))
            for index, queue in enumerate(self._plan.queues)
        ]
        await asyncio.gather(*senders)
        health.cancel()
        await self._session.close()
        data = msgspec.json.encode(self._records)
        pathlib.Path(self._plan.output).write_bytes(data)

    def stop(self) -> None:
        """Send no more."""
        self._stopping.set()

    async def _load(self, index: int, queue: dict[str, Any]) -> None:
        began_s = time.monotonic()
        calls: set[asyncio.Task[None]] = set()
        number = 0
        while not self._stopping.is_set():
            passed_s = time.monotonic() - began_s
            if passed_s >= self._plan.duration_s:
                break
            rate = self._plan.mean_per_s * self._factor(index, passed_s)
            await asyncio.sleep(self._random.expovariate(rate))
            number += 1
            name = f"{self._plan.seed}-{queue['queue']}-{number}"
            call = asyncio.create_task(self._call(name, queue))
            calls.add(call)
            call.add_done_callback(calls.discard)
        if calls:
            await asyncio.wait(calls)

    def _factor(self, index: int, passed_s: float) -> float:
        """Return the load of a queue now, as a part of its mean."""
        count = len(self._plan.queues)
        phase = (passed_s / self._plan.period_s + index / count) % 1.0
        if phase < _BURST_END:
            return _BURST_FACTOR
        if phase < _LULL_END:
            return _LULL_FACTOR
        return _CALM_FACTOR

    async def _call(self, name: str, queue: dict[str, Any]) -> None:
        token = self._random.choice(queue["tokens"])
        work_ms = self._plan.work_ms * self._random.lognormvariate(0, 0.5)
        record = CallRecord(
            caller=name,
            queue=queue["queue"],
            member=queue["members"][token],
            idempotent=queue["idempotent"],
            gateway="",
            sent_ms=_now_ms(),
            deadline_ms=0,
        )
        self._records.append(record)
        headers = {
            "Authorization": f"Bearer {token}",
            "X-Caller-Id": name,
            "X-Work-Ms": str(int(work_ms)),
        }
        if self._plan.keys and not queue["idempotent"]:
            headers["Idempotency-Key"] = name
            headers["Wagtail-Key-Issued-Ms"] = str(record.sent_ms)
        await self._send(record, headers)
        record.ended_ms = _now_ms()

    async def _send(self, record: CallRecord, headers: dict[str, str]) -> None:
        for _ in range(_TRIES):
            gateway = self._pick()
            record.gateway = gateway
            try:
                async with self._session.post(
                    f"{gateway}/q/{record.queue}/run",
                    data=b"page " * 40,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=90),
                ) as response:
                    await self._note(record, response)
                    return
            except aiohttp.ClientConnectorError:
                self._healthy.discard(gateway)
                await asyncio.sleep(0.05)
            except (TimeoutError, aiohttp.ClientError) as error:
                record.reason = type(error).__name__
                return
        record.outcome = Outcome.NOT_RUN
        record.reason = "no_gateway"

    async def _note(
        self, record: CallRecord, response: aiohttp.ClientResponse
    ) -> None:
        body = await response.read()
        told = response.headers.get("Wagtail-Outcome", "")
        record.outcome = Outcome(told) if told else Outcome.LOST
        answer = json.loads(body) if body[:1] == b"{" else {}
        if record.outcome is Outcome.ANSWER:
            record.reason = str(response.status)
            if response.status == 200:
                own = answer.get("echo") == record.caller
                member = answer.get("member") == record.member
                record.crossed = not (own and member)
            return
        record.reason = answer.get("reason") or answer.get("field") or ""

    def _pick(self) -> str:
        weights = self._plan.weights or [1.0] * len(self._plan.gateways)
        choices = [
            (gateway, weight)
            for gateway, weight in zip(
                self._plan.gateways, weights, strict=True
            )
            if gateway in self._healthy
        ] or list(zip(self._plan.gateways, weights, strict=True))
        names, chances = zip(*choices, strict=True)
        return self._random.choices(names, chances)[0]

    async def _watch_health(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1)
        while True:
            for gateway in self._plan.gateways:
                try:
                    async with self._session.get(
                        f"{gateway}/health", timeout=timeout
                    ) as response:
                        healthy = response.status == 200
                except (TimeoutError, aiohttp.ClientError):
                    healthy = False
                if healthy:
                    self._healthy.add(gateway)
                else:
                    self._healthy.discard(gateway)
            await asyncio.sleep(_HEALTH_PERIOD_S)


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


async def _main(plan: Plan) -> int:
    callers = Callers(plan)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, callers.stop)
    await callers.run()
    return 0


def main() -> int:
    """Run the plan in the file named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", required=True)
    options = parser.parse_args()
    data = pathlib.Path(options.plan).read_bytes()
    plan = msgspec.json.decode(data, type=Plan)
    return runtime.run(_main(plan))


if __name__ == "__main__":
    raise SystemExit(main())
