"""HTTP client of the platform's VM service."""

from typing import TypeVar

import aiohttp
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import connector
from wagtailtiller import errors
from wagtailtiller import ids
from wagtailtiller.ports import platform

_CALL_TIMEOUT_MS = 2_000
_HTTP_OK = 200

_T = TypeVar("_T")


class _RebootReply(msgspec.Struct):
    accepted: bool


class HttpPlatform:
    """Implementation of the ``Platform`` interface with aiohttp.

    Args:
        base_url: Base URL of the service, such as ``http://127.0.0.1:7100``.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def list_vms(
        self,
    ) -> Result[list[platform.ListedVm], errors.PlatformUnavailable]:
        """Return the live and leaving VMs; the list may be out of date."""
        return await self._call("GET", "/v1/vms", {}, list[platform.ListedVm])

    async def reboot(
        self, vm: ids.VmId, after_boot: int
    ) -> Result[bool, errors.PlatformUnavailable]:
        """Reboot a VM for maintenance; the call is idempotent.

        Args:
            vm: Id of the VM.
            after_boot: Current start count of the VM. A VM with a higher
                count is not rebooted.

        Returns:
            Whether the platform accepted the request.
        """
        query = {"vm": vm, "after_boot": str(after_boot)}
        answer = await self._call("POST", "/v1/reboot", query, _RebootReply)
        return answer.map(lambda reply: reply.accepted)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        reply_type: type[_T],
    ) -> Result[_T, errors.PlatformUnavailable]:
        if self._session is None:
            timeout_s = _CALL_TIMEOUT_MS / 1_000
            self._session = aiohttp.ClientSession(
                connector=connector.Connector(),
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=timeout_s
                ),
            )
        try:
            async with self._session.request(
                method, self._base_url + path, params=query
            ) as response:
                body = await response.read()
                if response.status != _HTTP_OK:
                    reason = f"status {response.status}"
                    return Error(errors.PlatformUnavailable(reason))
                return Ok(msgspec.json.decode(body, type=reply_type))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Error(errors.PlatformUnavailable(type(error).__name__))
        except msgspec.MsgspecError as error:
            return Error(errors.PlatformUnavailable(f"bad answer: {error}"))
