"""Waits at a shutdown until callers use other processes."""

import asyncio

from wagtailtiller.platform import caller_api

# The load balancer checks once a second, and stops sending after two failed
# checks.
_FAILED_CHECKS = 2
_BALANCER_UPDATE_S = 2.5
# A balancer that still sends may have noticed late.
_QUIET_S = 0.5
_POLL_INTERVAL_S = 0.05


class Readiness:
    """Counts the load balancer's checks.

    Attributes:
        failed_count: Number of failed checks since the last successful one.
        has_succeeded: Whether a check has ever succeeded, so that a balancer
            may send requests.
    """

    def __init__(self) -> None:
        self.failed_count = 0
        self.has_succeeded = False

    def record_check(self, ready: bool) -> None:
        """Record the answer to a check.

        Args:
            ready: Whether the answer was that the process is ready.
        """
        if ready:
            self.failed_count = 0
            self.has_succeeded = True
        else:
            self.failed_count += 1


async def wait_until_unused(
    api: caller_api.CallerApi, readiness: Readiness, limit_s: float
) -> None:
    """Wait until no caller is being served and no more requests come.

    Args:
        api: The interface for callers.
        readiness: The load balancer's checks.
        limit_s: Longest time to wait.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while loop.time() - started_s < limit_s:
        balancer_updated = loop.time() - started_s >= _BALANCER_UPDATE_S and (
            readiness.failed_count >= _FAILED_CHECKS
            or not readiness.has_succeeded
        )
        quiet = loop.time() - api.last_request_s >= _QUIET_S
        if balancer_updated and quiet and not api.in_flight:
            return
        await asyncio.sleep(_POLL_INTERVAL_S)
