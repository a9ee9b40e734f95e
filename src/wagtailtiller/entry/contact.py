"""What a process learns from the others while the store is silent for it.

As long as it reaches the owners of the pools, it can still serve callers. The
other processes may read the store, and know who owns which pool by now. If it
reaches most of them neither, it is cut off itself, and callers are served
better elsewhere.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from wagtailtiller import events
from wagtailtiller.owner import messages

_CHECK_INTERVAL_MS = 300
# A reachable process answers within this time unless it is overloaded.
PING_TIMEOUT_MS = 400
# Enough to tell a cut from single processes that have ended.
_MAX_ASKED = 8

Ping = Callable[[str], Awaitable[messages.Pong | None]]


class PeerContact:
    """Asks other processes for a sign of life while the store is silent.

    Args:
        store_answers: Returns whether the store has responded recently.
        peer_addresses: Returns the addresses of the other live processes.
        ping: Asks the process at an address for a sign of life; returns None
            if it gives none.
        on_owner: Called with each owner of a pool that a process names.
        rng: Random source that chooses the processes to ask.

    Attributes:
        cut_off: Whether neither the store nor most other processes answer.
    """

    def __init__(
        self,
        store_answers: Callable[[], bool],
        peer_addresses: Callable[[], list[str]],
        ping: Ping,
        on_owner: Callable[[messages.KnownOwner], None],
        rng: random.Random,
    ) -> None:
        self.cut_off = False
        self._store_answers = store_answers
        self._peer_addresses = peer_addresses
        self._ping = ping
        self._on_owner = on_owner
        self._rng = rng

    async def run(self) -> None:
        """Check the contact until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_MS / 1_000)
            await self.check()

    async def check(self) -> None:
        """Update ``cut_off``; ask other processes if the store is silent."""
        if self._store_answers():
            self._set_cut_off(False, 0, 0)
            return
        addresses = self._peer_addresses()
        asked = self._rng.sample(addresses, min(len(addresses), _MAX_ASKED))
        pongs = await asyncio.gather(*map(self._ping, asked))
        answers = [pong for pong in pongs if pong is not None]
        for pong in answers:
            for owner in pong.owners:
                self._on_owner(owner)
        lost = is_contact_lost(len(asked), len(answers))
        # The store may have answered meanwhile.
        self._set_cut_off(
            lost and not self._store_answers(), len(asked), len(answers)
        )

    def _set_cut_off(self, cut_off: bool, asked: int, answered: int) -> None:
        if cut_off == self.cut_off:
            return
        self.cut_off = cut_off
        events.emit(
            events.Event.PEER_CONTACT_CHANGED,
            cut_off=cut_off,
            asked=asked,
            answered=answered,
        )


def is_contact_lost(asked: int, answered: int) -> bool:
    """Return whether a process has lost contact to most of the others.

    Two processes that are cut off together still reach each other.

    Args:
        asked: Number of processes that were asked.
        answered: Number of those that have answered.
    """
    return 2 * answered < asked
