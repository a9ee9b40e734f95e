"""Asynchronous interface of the frontend for acquiring slots."""

import asyncio

from wagtailtiller import clock as clock_module
from wagtailtiller.dispatch import messages
from wagtailtiller.gateway.granting import frontend

_DEADLINE_RETRY_AFTER_MS = 1_000

Reply = frontend.GrantedSlot | messages.Refuse


class SlotAcquirer:
    """Acquires slots from the frontend and waits for its replies.

    Args:
        clock: Clock that supplies the current time.
        own_frontend: Frontend of this gateway.
    """

    def __init__(
        self, clock: clock_module.Clock, own_frontend: frontend.Frontend
    ) -> None:
        self._clock = clock
        self._frontend = own_frontend

    async def acquire(self, request: frontend.AdmittedRequest) -> Reply:
        """Request a slot and wait for the reply or the deadline.

        A slot that is granted while the caller is being cancelled is released
        unused.

        Args:
            request: Request that needs a slot.

        Returns:
            The slot or a refusal. If the deadline passes first, the refusal
            has the reason ``NOT_DISPATCHER``.
        """
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Reply] = loop.create_future()
        seq = self._frontend.request_slot(
            request, lambda received: _resolve(reply, received)
        )
        timeout_ms = request.deadline_ms - self._clock.monotonic_ms()
        try:
            return await asyncio.wait_for(reply, timeout_ms / 1_000)
        except TimeoutError:
            self._release_unused(seq)
            return messages.Refuse(
                seq,
                messages.RefusalReason.NOT_DISPATCHER,
                _DEADLINE_RETRY_AFTER_MS,
            )
        except asyncio.CancelledError:
            self._release_unused(seq)
            raise

    def _release_unused(self, seq: int) -> None:
        self._frontend.abandon(seq)
        self._frontend.release(seq, messages.RunOutcome.UNUSED, 0)


def _resolve(reply: "asyncio.Future[Reply]", received: Reply) -> None:
    if not reply.done():
        reply.set_result(received)
