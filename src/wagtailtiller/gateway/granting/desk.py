"""Waits for slots: the asynchronous face of the front."""

import asyncio

from wagtailtiller import clock
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway.granting import front

_LATE_RETRY_MS = 1_000

Reply = front.Granted | messages.Refuse


class Desk:
    """Turns the front's replies into something to wait for.

    Args:
        time: The clock.
        source: This gateway's front.
    """

    def __init__(self, time: clock.Clock, source: front.Front) -> None:
        self._clock = time
        self._front = source

    async def acquire(self, want: front.Want) -> Reply:
        """Wait for a slot, a refusal, or the deadline.

        At the deadline it is as if no dispatcher had been found.

        A slot that is granted while the waiter is being cancelled goes back
        unused.
        """
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Reply] = loop.create_future()
        seq = self._front.begin(want, lambda got: _resolve(reply, got))
        left_ms = want.deadline_ms - self._clock.monotonic_ms()
        try:
            return await asyncio.wait_for(reply, left_ms / 1_000)
        except TimeoutError:
            self._give_back(seq)
            return messages.Refuse(
                seq, messages.Refusal.NOT_DISPATCHER, _LATE_RETRY_MS
            )
        except asyncio.CancelledError:
            self._give_back(seq)
            raise

    def _give_back(self, seq: int) -> None:
        self._front.abandon(seq)
        self._front.release(seq, messages.RunOutcome.UNUSED, 0)


def _resolve(reply: "asyncio.Future[Reply]", got: Reply) -> None:
    if not reply.done():
        reply.set_result(got)
