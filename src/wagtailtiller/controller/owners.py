"""Asks the gateways that own pools: for drains and for loads."""

import grpc
import msgspec

from wagtailtiller import ids
from wagtailtiller import roster
from wagtailtiller.dispatch import messages
from wagtailtiller.dispatch import wire
from wagtailtiller.fleet import balancing

_ASK_TIMEOUT_MS = 1_000

_loads_decoder = msgspec.msgpack.Decoder(list[balancing.PoolLoad])


class OwnerClient:
    """Unary calls to gateways, over one channel each."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def close(self) -> None:
        """Close the connections."""
        for channel in self._channels.values():
            await channel.close()

    async def drain(
        self, owner: roster.Session, vm: ids.VmId
    ) -> messages.DrainResponse:
        """Ask whether a VM is free; no answer counts as not the owner."""
        question = msgspec.msgpack.encode(messages.DrainRequest(vm))
        answer = await self._ask(owner, wire.DRAIN_STATE, question)
        if answer is None:
            return messages.DrainResponse(owner=False)
        return msgspec.msgpack.decode(answer, type=messages.DrainResponse)

    async def loads(self, owner: roster.Session) -> list[balancing.PoolLoad]:
        """Ask for the loads of the pools that a gateway owns."""
        answer = await self._ask(owner, wire.LOADS, b"")
        return [] if answer is None else _loads_decoder.decode(answer)

    async def _ask(
        self, owner: roster.Session, method: str, question: bytes
    ) -> bytes | None:
        address = owner.peer_address
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(
                address, options=wire.CHANNEL_OPTIONS
            )
        call: grpc.aio.UnaryUnaryMultiCallable
        call = self._channels[address].unary_unary(method)
        try:
            return await call(question, timeout=_ASK_TIMEOUT_MS / 1_000)
        except grpc.RpcError:
            return None
