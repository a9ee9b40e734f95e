"""Addresses as the processes of a site see them.

The processes publish addresses in the store. Each process reads those of its
own links in their place, so that its connections lead through the links.
"""

import msgspec


class View(msgspec.Struct, frozen=True):
    """What one process sees in the store.

    Attributes:
        port: Port on which the store serves the process.
        addresses: Address of the process's link by published address, each as
            ``ip:port``.
    """

    port: int = 0
    addresses: dict[str, str] = {}

    def read(self, value: bytes) -> bytes:
        """Return a stored value as the process reads it."""
        for published, link in self.addresses.items():
            value = value.replace(_quoted(published), _quoted(link))
        return value

    def write(self, value: bytes) -> bytes:
        """Return a value that the process writes as it is stored."""
        for published, link in self.addresses.items():
            value = value.replace(_quoted(link), _quoted(published))
        return value


def _quoted(address: str) -> bytes:
    return f'"{address}"'.encode()
