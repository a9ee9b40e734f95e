"""Decides when the ended runs of one VM may be acknowledged.

The next life of a VM may execute calls that were meant for its former one, late
and in any order. An acknowledgement that it executes after such a start makes
it discard the end of that run, which nobody has read, so that the task would
run again. Two rules exclude this:

- No ends are acknowledged while a start without an answer may still be
  executed.
- A start carries a higher fencing token than all acknowledgements before it, so
  that a VM that has executed the start refuses them.
"""

import asyncio

from wagtailtiller import clock as clock_module
from wagtailtiller.scheduling import vm as vm_module

# Bounds the time for which open starts delay the next lease renewal.
_MAX_WAIT_MS = 100
_POLL_MS = 5
# Starts wait once they have deferred an acknowledgement for this time.
_MAX_DEFERRAL_MS = 1_000


class Acknowledgements:
    """The acknowledgements of one VM's ended runs.

    Args:
        vm: State of the VM.
        clock: Clock that supplies the current time.

    Attributes:
        starts_allowed: Cleared while starts wait until the open ones are
            answered and the ended runs are acknowledged.
    """

    def __init__(self, vm: vm_module.Vm, clock: clock_module.Clock) -> None:
        self.starts_allowed = asyncio.Event()
        self.starts_allowed.set()
        self._vm = vm
        self._clock = clock
        # After a failure the VM may be a new instance under the same id, whose
        # list of ended runs begins at position 1 again.
        self._is_life_known = False
        self._answered_position = 0
        self._deferred_since_ms: int | None = None

    def record_listing(self, acknowledged: int) -> None:
        """Record that the VM has answered a hold request.

        Args:
            acknowledged: Position that the request has acknowledged; 0 if none.
        """
        self._is_life_known = True
        self._answered_position = max(self._answered_position, acknowledged)

    def record_failure(self) -> None:
        """Record that a hold request got no listing of this life."""
        self._is_life_known = False
        self._end_deferral()

    def take_position(self) -> int:
        """Return the position to acknowledge in a hold request sent now.

        Returns:
            The position; 0 if nothing may be acknowledged.
        """
        if not self._is_life_known or not self._vm.stored_end_position:
            return 0
        if self._vm.may_execute_late_start(self._clock.monotonic_ms()):
            return 0
        self._end_deferral()
        self._vm.acknowledged_token = self._vm.token
        return self._vm.stored_end_position

    async def wait_for_starts(self) -> None:
        """Wait for a short time if open starts defer an acknowledgement.

        A VM that lists ended runs answers hold requests at once, so that it
        would get one after the other until the starts are answered.
        """
        now_ms = self._clock.monotonic_ms()
        end_ms = now_ms + _MAX_WAIT_MS
        while self._is_deferred(now_ms) and now_ms < end_ms:
            if self._deferred_since_ms is None:
                self._deferred_since_ms = now_ms
            if now_ms - self._deferred_since_ms >= _MAX_DEFERRAL_MS:
                self.starts_allowed.clear()
            await asyncio.sleep(_POLL_MS / 1_000)
            now_ms = self._clock.monotonic_ms()

    def _is_deferred(self, now_ms: int) -> bool:
        return (
            self._is_life_known
            and self._vm.stored_end_position > self._answered_position
            and self._vm.may_execute_late_start(now_ms)
        )

    def _end_deferral(self) -> None:
        self._deferred_since_ms = None
        self.starts_allowed.set()
