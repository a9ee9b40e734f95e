"""A stand-in for the platform's key-value service, with faults on demand.

Faults are switched over HTTP: ``POST /fault?mode=down|slow|lose|up`` where
``lose`` drops the answers of writes after they took effect.
"""

import argparse
import asyncio
import collections
import dataclasses
import enum
import itertools
import time

from aiohttp import web
import msgspec

from support.standins import serving
from wagtailtiller import ids
from wagtailtiller.ports import store

_MAX_VALUE_BYTES = 1_000_000
_LEASE_SCAN_MS = 100
_LINES_BYTES = 130


class FaultMode(enum.Enum):
    """How the stand-in misbehaves."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE = "lose"


@dataclasses.dataclass
class _Lease:
    expires_s: float
    ttl_s: float
    keys: set[str]


@dataclasses.dataclass
class _Entry:
    value: bytes
    revision: int
    lease: str


class StoreState:
    """The keys, leases and change history, without any transport."""

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[str, _Lease] = {}
        self._changes: list[store.Item] = []
        self._lease_ids = itertools.count(1)
        self.changed = asyncio.Event()

    def read(self, prefix: str) -> store.Snapshot:
        """Return the keys under a prefix."""
        items = [
            self._item(key)
            for key in sorted(self._entries)
            if key.startswith(prefix)
        ]
        return store.Snapshot(items, ids.Revision(self.revision))

    def changes(self, prefix: str, after: int) -> store.Snapshot:
        """Return the last change of each key changed after a revision."""
        latest: dict[str, store.Item] = {}
        for item in reversed(self._changes):
            if item.revision <= after:
                break
            if item.key.startswith(prefix):
                latest.setdefault(item.key, item)
        items = sorted(latest.values(), key=lambda item: item.revision)
        return store.Snapshot(items, ids.Revision(self.revision))

    def write(
        self, key: str, value: bytes, expected: int, lease: str
    ) -> store.Item | int:
        """Write a key; returns the new revision, or the conflicting item."""
        if self._current_revision(key) != expected:
            return self._item(key)
        if lease:
            if lease not in self._leases:
                return self._item(key)
            self._leases[lease].keys.add(key)
        self.revision += 1
        self._entries[key] = _Entry(value, self.revision, lease)
        self._record(key, value)
        return self.revision

    def delete(self, key: str, expected: int) -> store.Item | int:
        """Delete a key; returns the new revision, or the conflicting item."""
        if self._current_revision(key) != expected:
            return self._item(key)
        self.revision += 1
        del self._entries[key]
        self._record(key, None)
        return self.revision

    def grant(self, ttl_ms: int, now_s: float) -> str:
        """Create a lease."""
        lease = f"lease-{next(self._lease_ids)}"
        ttl_s = ttl_ms / 1_000
        self._leases[lease] = _Lease(now_s + ttl_s, ttl_s, set())
        return lease

    def renew(self, lease: str, now_s: float) -> bool:
        """Renew a lease; False when it has lapsed."""
        if lease not in self._leases:
            return False
        held = self._leases[lease]
        held.expires_s = now_s + held.ttl_s
        return True

    def expire(self, now_s: float) -> None:
        """Drop the lapsed leases with their keys."""
        for lease, held in list(self._leases.items()):
            if held.expires_s > now_s:
                continue
            del self._leases[lease]
            for key in held.keys:
                entry = self._entries.get(key)
                if entry is not None and entry.lease == lease:
                    self.delete(key, entry.revision)

    def _current_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def _item(self, key: str) -> store.Item:
        entry = self._entries.get(key)
        if entry is None:
            return store.Item(key, None, ids.Revision(0))
        return store.Item(key, entry.value, ids.Revision(entry.revision))

    def _record(self, key: str, value: bytes | None) -> None:
        self._changes.append(
            store.Item(key, value, ids.Revision(self.revision))
        )
        self.changed.set()
        self.changed = asyncio.Event()


class StoreServer:
    """The HTTP face of the stand-in."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.mode = FaultMode.UP
        self.delay_ms = 0
        self.calls: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Build the aiohttp application."""

        @web.middleware
        async def faults(
            request: web.Request, handler: serving.Handler
        ) -> web.StreamResponse:
            return await self._faults(request, handler)

        app = web.Application(
            client_max_size=2 * _MAX_VALUE_BYTES, middlewares=[faults]
        )
        app.router.add_get("/v1/range", self._range)
        app.router.add_put("/v1/kv", self._put)
        app.router.add_delete("/v1/kv", self._delete)
        app.router.add_post("/v1/lease", self._lease)
        app.router.add_post("/v1/renew", self._renew)
        app.router.add_get("/v1/watch", self._watch)
        app.router.add_post("/fault", self._fault)
        app.router.add_get("/calls", self._calls)
        app.cleanup_ctx.append(self._expiry)
        return app

    async def _faults(
        self, request: web.Request, handler: serving.Handler
    ) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        who = request.headers.get("User-Agent", "")
        self.calls[f"{request.method} {request.path}"] += 1
        self.calls[f"by {who}"] += 1
        if self.mode is FaultMode.DOWN:
            raise web.HTTPServiceUnavailable()
        if self.mode is FaultMode.SLOW:
            await asyncio.sleep(self.delay_ms / 1_000)
        response = await handler(request)
        self.calls[f"bytes {who}"] += _size(request, response)
        if self.mode is FaultMode.LOSE and request.method != "GET":
            raise web.HTTPGatewayTimeout()
        return response

    async def _range(self, request: web.Request) -> web.Response:
        return _json(self.state.read(request.query["prefix"]))

    async def _put(self, request: web.Request) -> web.Response:
        value = await request.read()
        if len(value) > _MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(_MAX_VALUE_BYTES, len(value))
        done = self.state.write(
            request.query["key"],
            value,
            int(request.query["if"]),
            request.query.get("lease", ""),
        )
        return _written(done)

    async def _delete(self, request: web.Request) -> web.Response:
        expected = int(request.query["if"])
        return _written(self.state.delete(request.query["key"], expected))

    async def _lease(self, request: web.Request) -> web.Response:
        ttl_ms = int(request.query["ttl_ms"])
        return _json({"lease": self.state.grant(ttl_ms, time.monotonic())})

    async def _renew(self, request: web.Request) -> web.Response:
        alive = self.state.renew(request.query["lease"], time.monotonic())
        return _json({"alive": alive})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query["wait_ms"]) / 1_000
        while True:
            found = self.state.changes(prefix, after)
            left_s = deadline_s - time.monotonic()
            if found.items or left_s <= 0:
                return _json(found)
            if self.mode is FaultMode.DOWN:
                raise web.HTTPServiceUnavailable()
            changed = self.state.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    async def _fault(self, request: web.Request) -> web.Response:
        self.mode = FaultMode(request.query["mode"])
        self.delay_ms = int(request.query.get("delay_ms", "0"))
        return _json({"mode": self.mode.value})

    async def _calls(self, request: web.Request) -> web.Response:
        return _json(dict(self.calls))

    async def _expiry(self, app: web.Application) -> serving.Context:
        task = asyncio.create_task(self._expire_forever())
        yield
        task.cancel()

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_SCAN_MS / 1_000)
            self.state.expire(time.monotonic())


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def _size(request: web.Request, response: web.StreamResponse) -> int:
    """Return about how many bytes a call took, both ways."""
    heads = [*request.headers.items(), *response.headers.items()]
    head_bytes = sum(len(name) + len(value) + 4 for name, value in heads)
    body = getattr(response, "body", None) or b""
    line_bytes = len(request.path_qs) + _LINES_BYTES
    content_bytes = (request.content_length or 0) + len(body)
    return head_bytes + line_bytes + content_bytes


def _written(done: store.Item | int) -> web.Response:
    if isinstance(done, store.Item):
        return _json(done, status=412)
    return _json({"revision": done})


def main() -> int:
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    return serving.serve([(StoreServer().application(), options.port)])


if __name__ == "__main__":
    raise SystemExit(main())
