"""Relay for TCP connections that can be made silent.

Each line of ``--links`` is ``PORT HOST PORT``. ``POST /silence`` on the control
port makes all connections that are open now silent for good: no byte passes any
more in either direction, and neither side sees a reset or an end. Connections
that are opened later work. ``GET /open`` returns how many connections are open
on each link. ``POST /hold?port=P`` holds up all bytes of a link, and
``POST /release?port=P`` lets them pass again.
"""

import argparse
import asyncio
import json
import pathlib
import signal
import urllib.parse

_READ_BYTES = 65_536


class Connection:
    """A relayed connection.

    Attributes:
        silent: Whether it passes no bytes any more.
    """

    def __init__(self) -> None:
        self.silent = False


class Link:
    """Relays the connections of one port.

    Args:
        host: Host of the destination.
        port: Port of the destination.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self.connections: set[Connection] = set()
        self.passing = asyncio.Event()
        self.passing.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until one side has closed it."""
        connection = Connection()
        self.connections.add(connection)
        far_writer = None
        try:
            await self.passing.wait()
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._port
            )
            copies = [
                asyncio.ensure_future(self._copy(connection, reader, far_writer)),
                asyncio.ensure_future(self._copy(connection, far_reader, writer)),
            ]
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for copy in copies:
                copy.cancel()
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            writer.transport.abort()
            if far_writer is not None:
                far_writer.transport.abort()

    async def _copy(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                await self.passing.wait()
                if not connection.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass


async def _serve_control(
    links: dict[int, Link],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    line = (await reader.readline()).decode()
    while (await reader.readline()).strip():
        pass
    target = urllib.parse.urlsplit(line.split()[1])
    query = dict(urllib.parse.parse_qsl(target.query))
    chosen = (
        [links[int(query["port"])]] if "port" in query else list(links.values())
    )
    if target.path == "/silence":
        for link in chosen:
            for connection in link.connections:
                connection.silent = True
    elif target.path == "/hold":
        for link in chosen:
            link.passing.clear()
    elif target.path == "/release":
        for link in chosen:
            link.passing.set()
    body = json.dumps(
        {
            port: [
                sum(not c.silent for c in link.connections),
                sum(c.silent for c in link.connections),
            ]
            for port, link in links.items()
        }
    ).encode()
    writer.write(
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
        + str(len(body)).encode()
        + b"\r\n\r\n"
        + body
    )
    await writer.drain()
    writer.close()


async def _run(control_port: int, path: pathlib.Path) -> None:
    links: dict[int, Link] = {}
    servers = []
    for line in path.read_text(encoding="utf-8").splitlines():
        port, host, far_port = line.split()
        links[int(port)] = Link(host, int(far_port))
        servers.append(
            await asyncio.start_server(
                links[int(port)].serve, "127.0.0.1", int(port)
            )
        )
    servers.append(
        await asyncio.start_server(
            lambda r, w: _serve_control(links, r, w), "127.0.0.1", control_port
        )
    )
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--links", type=pathlib.Path, required=True)
    options = parser.parse_args()
    asyncio.run(_run(options.port, options.links))
