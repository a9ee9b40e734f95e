"""Links between the entry processes of a site and all that they connect to."""

from collections.abc import Iterable
from collections.abc import Mapping
import pathlib
import urllib.parse
import urllib.request

import msgspec

from support.demo import ports
from support.standins import links
from support.standins import views

STORE = "store"
MACHINE_SERVICE = "machine-service"
_LOOPBACK = "127.0.0.1"


class SiteLinks:
    """One link from each entry process to each of its destinations.

    Args:
        entries: Address for peers of each entry process, as ``ip:port``.
        machines: Port of the VM on each machine.
        service_port: Port of the machine service.

    Attributes:
        port: Port of the interface that cuts and restores links.
    """

    def __init__(
        self,
        entries: Mapping[str, str],
        machines: Mapping[str, int],
        service_port: int,
    ) -> None:
        self.port = ports.free_port()
        self._entries = list(entries)
        self._published = {
            **entries,
            **{name: f"{_LOOPBACK}:{port}" for name, port in machines.items()},
            MACHINE_SERVICE: f"{_LOOPBACK}:{service_port}",
        }
        self._view_ports = {name: ports.free_port() for name in entries}
        self._links = {
            (entry, destination): self._create_link(entry, destination)
            for entry in entries
            for destination in (STORE, *self._published)
            if destination != entry
        }

    def address(self, entry: str, destination: str) -> str:
        """Return the ``ip:port`` of a link."""
        return f"{_LOOPBACK}:{self._links[entry, destination].port}"

    def write_links(self, path: pathlib.Path) -> None:
        """Write the links as the stand-in for the network reads them."""
        path.write_bytes(msgspec.json.encode(list(self._links.values())))

    def write_views(self, path: pathlib.Path) -> None:
        """Write the views of the processes as the store reads them."""
        rows = [self._create_view(entry) for entry in self._entries]
        path.write_bytes(msgspec.json.encode(rows))

    def cut_off(self, entries: Iterable[str], machines: Iterable[str]) -> None:
        """Cut entry processes and machines off from all others.

        Args:
            entries: Names of the entry processes, which reach one another and
                the machines.
            machines: Names of the machines.
        """
        side = {*entries, *machines}
        for entry in self._entries:
            is_far = entry not in side
            destinations = [
                destination
                for source, destination in self._links
                if source == entry and (destination in side) == is_far
            ]
            self._post("cut", entry, destinations)

    def restore(self, destinations: Iterable[str] = ()) -> None:
        """Restore the links to some destinations; all links if none is given.

        Args:
            destinations: Names of the destinations.
        """
        names = list(destinations)
        if not names:
            self._call("/restore")
            return
        for entry in self._entries:
            self._post("restore", entry, names)

    def _post(
        self, operation: str, entry: str, destinations: list[str]
    ) -> None:
        query = urllib.parse.urlencode(
            {"source": entry, "destinations": ",".join(destinations)}
        )
        self._call(f"/{operation}?{query}")

    def _call(self, path: str) -> None:
        url = f"http://{_LOOPBACK}:{self.port}{path}"
        request = urllib.request.Request(url, method="POST")
        with urllib.request.urlopen(request, timeout=4):
            pass

    def _create_link(self, entry: str, destination: str) -> links.Link:
        if destination == STORE:
            host, port = _LOOPBACK, self._view_ports[entry]
        else:
            host, text = self._published[destination].split(":")
            port = int(text)
        return links.Link(entry, destination, ports.free_port(), host, port)

    def _create_view(self, entry: str) -> views.View:
        addresses = {
            published: self.address(entry, destination)
            for destination, published in self._published.items()
            if destination != entry
        }
        return views.View(self._view_ports[entry], addresses)
