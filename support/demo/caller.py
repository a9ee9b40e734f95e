"""Sends a bursty load through the gateways and records each request.

The load of each queue rises to five times its mean rate and then falls to a
twentieth; the queues do so in turn. As with a load balancer, each request goes
to a random healthy gateway. If the connection is refused, the gateway has not
received the request, so it is sent to another one.
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
_BURST_END_PHASE = 0.2
_LULL_END_PHASE = 0.4
_CALM_FACTOR = 0.5
_MAX_ATTEMPTS = 5


class Outcome(enum.Enum):
    """Outcome of a request for its caller.

    Attributes:
        ANSWER: The endpoint's response arrived.
        NOT_RUN: The request has certainly not run.
        UNKNOWN: The request may have run.
        INVALID: The request was rejected as invalid.
        LOST: The caller received no outcome.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    INVALID = "invalid"
    LOST = "lost"


class CallRecord(msgspec.Struct):
    """Request as its caller recorded it.

    Attributes:
        caller: Id that the caller gave the request.
        queue: Name of the queue.
        member: Member that the token belongs to.
        idempotent: Whether the queue's requests may be repeated.
        gateway: URL of the gateway of the last attempt.
        sent_ms: Time of sending, in Unix milliseconds.
        ended_ms: Time of the outcome, in Unix milliseconds.
        outcome: Outcome of the request.
        reason: Status of the endpoint's response, or reason for another
            outcome.
        crossed: Whether the response belonged to another request or member.
    """

    caller: str
    queue: str
    member: str
    idempotent: bool
    gateway: str
    sent_ms: int
    ended_ms: int = 0
    outcome: Outcome = Outcome.LOST
    reason: str = ""
    crossed: bool = False


class Plan(msgspec.Struct):
    """Input of a caller process.

    Attributes:
        gateways: URLs of the gateways.
        queues: Name, tokens, members and idempotency of each queue.
        mean_per_s: Mean requests per second for each queue.
        work_ms: Median work of a request in milliseconds.
        period_s: Length of one cycle of burst, lull and calm load in seconds.
        duration_s: How long requests are sent, in seconds.
        seed: Seed of all random choices.
        output: Path of the file that receives the records.
        weights: Relative load of each gateway; equal if empty.
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
    """Callers of a site.

    Args:
        plan: Load to send.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._healthy = set(plan.gateways)
        self._records: list[CallRecord] = []
        self._stopping = asyncio.Event()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._session._retry_connection = False

    async def run(self) -> None:
        """Send requests for the planned time and write the records."""
        health = asyncio.create_task(self._watch_health())
        senders = [
            asyncio.create_task(self._send_queue(index, queue))
            for index, queue in enumerate(self._plan.queues)
        ]
        await asyncio.gather(*senders)
        health.cancel()
        await self._session.close()
        data = msgspec.json.encode(self._records)
        pathlib.Path(self._plan.output).write_bytes(data)

    def stop(self) -> None:
        """Stop sending new requests."""
        self._stopping.set()

    async def _send_queue(self, index: int, queue: dict[str, Any]) -> None:
        start_s = time.monotonic()
        call_tasks: set[asyncio.Task[None]] = set()
        number = 0
        while not self._stopping.is_set():
            elapsed_s = time.monotonic() - start_s
            if elapsed_s >= self._plan.duration_s:
                break
            rate = self._plan.mean_per_s * self._load_factor(index, elapsed_s)
            await asyncio.sleep(self._rng.expovariate(rate))
            number += 1
            caller_id = f"{self._plan.seed}-{queue['queue']}-{number}"
            call = asyncio.create_task(self._send_call(caller_id, queue))
            call_tasks.add(call)
            call.add_done_callback(call_tasks.discard)
        if call_tasks:
            await asyncio.wait(call_tasks)

    def _load_factor(self, index: int, elapsed_s: float) -> float:
        """Return the current load of a queue as a multiple of its mean."""
        count = len(self._plan.queues)
        phase = (elapsed_s / self._plan.period_s + index / count) % 1.0
        if phase < _BURST_END_PHASE:
            return _BURST_FACTOR
        if phase < _LULL_END_PHASE:
            return _LULL_FACTOR
        return _CALM_FACTOR

    async def _send_call(self, caller_id: str, queue: dict[str, Any]) -> None:
        token = self._rng.choice(queue["tokens"])
        work_ms = self._plan.work_ms * self._rng.lognormvariate(0, 0.5)
        record = CallRecord(
            caller=caller_id,
            queue=queue["queue"],
            member=queue["members"][token],
            idempotent=queue["idempotent"],
            gateway="",
            sent_ms=_now_ms(),
        )
        self._records.append(record)
        headers = {
            "Authorization": f"Bearer {token}",
            "X-Caller-Id": caller_id,
            "X-Work-Ms": str(int(work_ms)),
        }
        if self._plan.keys and not queue["idempotent"]:
            headers["Idempotency-Key"] = caller_id
            headers["Wagtail-Key-Issued-Ms"] = str(record.sent_ms)
        await self._send_to_gateway(record, headers)
        record.ended_ms = _now_ms()

    async def _send_to_gateway(
        self, record: CallRecord, headers: dict[str, str]
    ) -> None:
        for _ in range(_MAX_ATTEMPTS):
            gateway = self._pick_gateway()
            record.gateway = gateway
            try:
                async with self._session.post(
                    f"{gateway}/q/{record.queue}/run",
                    data=b"page " * 40,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=90),
                ) as response:
                    await self._record_response(record, response)
                    return
            except aiohttp.ClientConnectorError:
                self._healthy.discard(gateway)
                await asyncio.sleep(0.05)
            except (TimeoutError, aiohttp.ClientError) as error:
                record.reason = type(error).__name__
                return
        record.outcome = Outcome.NOT_RUN
        record.reason = "no_gateway"

    async def _record_response(
        self, record: CallRecord, response: aiohttp.ClientResponse
    ) -> None:
        body = await response.read()
        outcome_text = response.headers.get("Wagtail-Outcome", "")
        record.outcome = Outcome(outcome_text) if outcome_text else Outcome.LOST
        content = json.loads(body) if body[:1] == b"{" else {}
        if record.outcome is Outcome.ANSWER:
            record.reason = str(response.status)
            if response.status == 200:
                echoed = content.get("echo") == record.caller
                member = content.get("member") == record.member
                record.crossed = not (echoed and member)
            return
        record.reason = content.get("reason") or content.get("field") or ""

    def _pick_gateway(self) -> str:
        weights = self._plan.weights or [1.0] * len(self._plan.gateways)
        choices = [
            (gateway, weight)
            for gateway, weight in zip(
                self._plan.gateways, weights, strict=True
            )
            if gateway in self._healthy
        ] or list(zip(self._plan.gateways, weights, strict=True))
        gateways, choice_weights = zip(*choices, strict=True)
        return self._rng.choices(gateways, choice_weights)[0]

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
    """Send the load of the plan file given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", required=True)
    options = parser.parse_args()
    data = pathlib.Path(options.plan).read_bytes()
    plan = msgspec.json.decode(data, type=Plan)
    return runtime.run(_main(plan))


if __name__ == "__main__":
    raise SystemExit(main())
