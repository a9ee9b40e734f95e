"""Client that queries the gateways that own pools."""

import grpc
import msgspec

from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import wire
from wagtailtiller.fleet import balancing

_REQUEST_TIMEOUT_MS = 1_000

_loads_decoder = msgspec.msgpack.Decoder(list[balancing.PoolLoad])


class OwnerClient:
    """Client for unary gRPC calls to gateways, with one channel for each."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()

    async def drain(
        self, owner: roster.GatewaySession, vm: ids.VmId
    ) -> messages.DrainResponse:
        """Query whether a VM is free of work.

        Args:
            owner: Session of the gateway that owns the VM's pool.
            vm: The VM.

        Returns:
            The drain state. It has ``owner=False`` if the call failed.
        """
        request = msgspec.msgpack.encode(messages.DrainRequest(vm))
        response = await self._call(owner, wire.DRAIN_STATE, request)
        if response is None:
            return messages.DrainResponse(owner=False)
        return msgspec.msgpack.decode(response, type=messages.DrainResponse)

    async def loads(
        self, owner: roster.GatewaySession
    ) -> list[balancing.PoolLoad]:
        """Query the loads of the pools that a gateway owns.

        Args:
            owner: Session of the gateway.

        Returns:
            One load for each pool; empty if the call failed.
        """
        response = await self._call(owner, wire.LOADS, b"")
        return [] if response is None else _loads_decoder.decode(response)

    async def _call(
        self, owner: roster.GatewaySession, method: str, request: bytes
    ) -> bytes | None:
        address = owner.peer_address
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(
                address, options=wire.CHANNEL_OPTIONS
            )
        rpc: grpc.aio.UnaryUnaryMultiCallable
        rpc = self._channels[address].unary_unary(method)
        try:
            return await rpc(request, timeout=_REQUEST_TIMEOUT_MS / 1_000)
        except grpc.RpcError:
            return None
