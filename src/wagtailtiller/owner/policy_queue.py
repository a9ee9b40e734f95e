"""Asks the placement policy, which takes one question at a time."""

import asyncio
from collections.abc import Callable

from wagtailtiller import clock as clock_module
from wagtailtiller import events
from wagtailtiller.ports import policy
from wagtailtiller.scheduling import commands
from wagtailtiller.scheduling import pool as pool_module


class PolicyQueue:
    """Queues the questions of one pool.

    Args:
        placement_policy: The service.
        pool: The pool, which takes the answers in.
        clock: The time.
        answered: Called after each answer.
    """

    def __init__(
        self,
        placement_policy: policy.Policy,
        pool: pool_module.Pool,
        clock: clock_module.Clock,
        answered: Callable[[], None],
    ) -> None:
        self._policy = placement_policy
        self._pool = pool
        self._clock = clock
        self._answered = answered
        self._questions: asyncio.Queue[commands.AskPolicy] = asyncio.Queue()

    def put(self, question: commands.AskPolicy) -> None:
        """Queue a question."""
        self._questions.put_nowait(question)

    async def run(self) -> None:
        """Ask one question after the other, for ever."""
        while True:
            question = await self._questions.get()
            sent_ms = self._clock.monotonic_ms()
            answer = await self._policy.ask(
                question.task, question.vms, question.timeout_ms
            )
            now_ms = self._clock.monotonic_ms()
            allowed = 0
            if answer.is_ok():
                found = answer.ok
                allowed = len(found.tickets)
                self._pool.tickets.answered(
                    question.task,
                    question.vms,
                    found.tickets,
                    now_ms + found.valid_ms,
                )
            else:
                self._pool.tickets.failed(question.task)
            events.emit(
                events.Event.POLICY_ASKED,
                job=question.task.job,
                task=question.task[1:],
                vms=len(question.vms),
                allowed=allowed,
                outcome="answered" if answer.is_ok() else str(answer.error),
                took_ms=now_ms - sent_ms,
            )
            self._answered()
