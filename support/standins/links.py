"""Stand-in for the network between processes, with injected partitions.

Each link carries the connections from one process to one destination, and
listens on a port of its own. A link that is cut holds up all bytes. When it is
restored, they arrive, unless their sender has reset the connection.

``POST /cut?source=A&destinations=B,C`` cuts the links from one process to some
destinations, ``POST /restore?source=A&destinations=B,C`` restores them, and
``POST /restore`` restores all links.
"""

import argparse
import asyncio
from collections.abc import AsyncIterator
import pathlib

from aiohttp import web
import msgspec

from support.standins import serving

_LOOPBACK = "127.0.0.1"
_READ_BYTES = 65_536


class Link(msgspec.Struct, frozen=True):
    """Link from a process to a destination.

    Attributes:
        source: Name of the process that connects.
        destination: Name of the process or machine that it connects to.
        port: Port on which the link listens.
        target_host: IP address of the destination.
        target_port: Port of the destination.
    """

    source: str
    destination: str
    port: int
    target_host: str
    target_port: int


class Partitions:
    """The links that are cut."""

    def __init__(self) -> None:
        self._cut: set[tuple[str, str]] = set()
        self._restored = asyncio.Event()

    def cut(self, source: str, destinations: list[str]) -> None:
        """Cut the links from a process to some destinations."""
        self._cut.update((source, name) for name in destinations)

    def restore(self, source: str, destinations: list[str]) -> None:
        """Restore the links from a process to some destinations."""
        self._cut.difference_update((source, name) for name in destinations)
        self._wake_held_up()

    def restore_all(self) -> None:
        """Restore all links."""
        self._cut.clear()
        self._wake_held_up()

    async def wait_until_restored(self, link: Link) -> None:
        """Wait until neither direction of a link is cut."""
        while not self._cut.isdisjoint(_directions(link)):
            await self._restored.wait()

    def _wake_held_up(self) -> None:
        self._restored.set()
        self._restored = asyncio.Event()


def _directions(link: Link) -> tuple[tuple[str, str], tuple[str, str]]:
    pair = (link.source, link.destination)
    return pair, pair[::-1]


class _Relay:
    """Forwards the connections of one link."""

    def __init__(self, link: Link, partitions: Partitions) -> None:
        self._link = link
        self._partitions = partitions

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until both sides have closed it."""
        far_writer: asyncio.StreamWriter | None = None
        try:
            await self._partitions.wait_until_restored(self._link)
            far_reader, far_writer = await asyncio.open_connection(
                self._link.target_host, self._link.target_port
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, writer, far_writer))
                group.create_task(self._copy(far_reader, far_writer, writer))
        except* OSError:
            # The other side sees the connection reset.
            pass
        finally:
            writer.transport.abort()
            if far_writer is not None:
                far_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        sender: asyncio.StreamWriter,
        receiver: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            await self._partitions.wait_until_restored(self._link)
            if sender.is_closing():
                raise ConnectionResetError
            receiver.write(data)
            await receiver.drain()
        await self._partitions.wait_until_restored(self._link)
        if receiver.can_write_eof():
            receiver.write_eof()


class Network:
    """Serves the links and the interface that cuts and restores them.

    Args:
        links: All links.
    """

    def __init__(self, links: list[Link]) -> None:
        self._links = links
        self._partitions = Partitions()

    def application(self) -> web.Application:
        """Return the application that cuts and restores links."""
        app = web.Application()
        app.router.add_post("/cut", self._serve_cut)
        app.router.add_post("/restore", self._serve_restore)
        app.router.add_get("/links", self._list_links)
        app.cleanup_ctx.append(self._run_relays)
        return app

    async def _run_relays(self, app: web.Application) -> AsyncIterator[None]:
        servers = []
        for link in self._links:
            relay = _Relay(link, self._partitions)
            servers.append(
                await asyncio.start_server(relay.serve, _LOOPBACK, link.port)
            )
        yield
        for server in servers:
            server.close()

    async def _serve_cut(self, request: web.Request) -> web.Response:
        source, destinations = _read_query(request)
        self._partitions.cut(source, destinations)
        return web.Response()

    async def _serve_restore(self, request: web.Request) -> web.Response:
        if "source" not in request.query:
            self._partitions.restore_all()
            return web.Response()
        source, destinations = _read_query(request)
        self._partitions.restore(source, destinations)
        return web.Response()

    async def _list_links(self, request: web.Request) -> web.Response:
        return web.Response(body=msgspec.json.encode(self._links))


def _read_query(request: web.Request) -> tuple[str, list[str]]:
    names = request.query["destinations"].split(",")
    return request.query["source"], names


def main() -> int:
    """Serve the links until SIGTERM; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--links", type=pathlib.Path, required=True)
    options = parser.parse_args()
    links = msgspec.json.decode(options.links.read_bytes(), type=list[Link])
    return serving.serve([(Network(links).application(), options.port)])


if __name__ == "__main__":
    raise SystemExit(main())
