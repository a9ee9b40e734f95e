"""A stand-in for the platform's key-value service, with faults on demand.

Faults are switched over HTTP: ``POST /fault?mode=down|slow|lose|up`` where
``lose`` drops the answers of writes after they took effect.
"""

import argparse
import asyncio
import base64
import collections
import dataclasses
import enum
import itertools
import time

from aiohttp import web
from expression import Error
from expression import Ok
import msgspec

from support.standins import serving
from wagtailtiller import ids
from wagtailtiller.ports import store

_MAX_VALUE_BYTES = 1_000_000
_LEASE_SCAN_MS = 100
_PAGE_ITEMS = 500
_LINES_BYTES = 130


class FaultMode(enum.Enum):
    """How the stand-in misbehaves."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE = "lose"


class _Expectation(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct):
    expect: list[_Expectation] = msgspec.field(
        name="precondition", default_factory=list
    )
    writes: list[_Write] = []
    remove: list[str] = []


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
            self.item(key)
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

    def commit(self, transaction: store.Transaction) -> store.CommitResult:
        """Apply a transaction, or say which expectations do not hold."""
        expected = transaction.expected.items()
        if any(self._current_revision(k) != r for k, r in expected):
            items = tuple(self.item(key) for key in transaction.expected)
            return Error(store.PreconditionFailed(items))
        named = {write.lease for write in transaction.writes if write.lease}
        if not named <= self._leases.keys():
            return Error(store.LeaseLapsed())
        self.revision += 1
        for write in transaction.writes:
            self._put(write)
        for key in transaction.deletes:
            if self._entries.pop(key, None) is not None:
                self._record(key, None)
        return Ok(ids.Revision(self.revision))

    def write(
        self, key: str, value: bytes, expected: int, lease: str
    ) -> store.CommitResult:
        """Write one key if its revision is the expected one."""
        return self.commit(
            store.Transaction(
                {key: ids.Revision(expected)},
                (store.Write(key, value, lease),),
            )
        )

    def delete(self, key: str, expected: int) -> store.CommitResult:
        """Delete one key if its revision is the expected one."""
        return self.commit(
            store.Transaction({key: ids.Revision(expected)}, deletes=(key,))
        )

    def grant(self, ttl_ms: int, now_s: float) -> str:
        """Create a lease."""
        lease = str(next(self._lease_ids))
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

    def end(self, lease: str) -> None:
        """End a lease; its keys are deleted."""
        held = self._leases.pop(lease, None)
        for key in held.keys if held is not None else ():
            entry = self._entries.get(key)
            if entry is not None and entry.lease == lease:
                self.commit(store.Transaction({}, deletes=(key,)))

    def expire(self, now_s: float) -> None:
        """Drop the lapsed leases with their keys."""
        for lease, held in list(self._leases.items()):
            if held.expires_s > now_s:
                continue
            self.end(lease)

    def _put(self, write: store.Write) -> None:
        if write.lease:
            self._leases[write.lease].keys.add(write.key)
        self._entries[write.key] = _Entry(
            write.value, self.revision, write.lease
        )
        self._record(write.key, write.value)

    def _current_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else 0

    def item(self, key: str) -> store.Item:
        """Return a key; one that does not exist has no value."""
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
        app.router.add_get("/v1/kv-key", self._key)
        app.router.add_get("/v1/kv-range", self._range)
        app.router.add_get("/v1/kv-watch", self._watch)
        app.router.add_post("/v1/kv-txn", self._transaction)
        app.router.add_post("/v1/kv-lease", self._grant)
        app.router.add_post("/v1/kv-keep/{lease}", self._renew)
        app.router.add_delete("/v1/kv-lease-end/{lease}", self._end)
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

    async def _key(self, request: web.Request) -> web.Response:
        item = self.state.item(request.query["key"])
        if item.value is None:
            raise web.HTTPNotFound()
        return _json(_wire_item(item))

    async def _range(self, request: web.Request) -> web.Response:
        found = self.state.read(request.query["prefix"])
        after = request.query.get("after", "")
        items = [item for item in found.items if item.key > after]
        page = items[:_PAGE_ITEMS]
        return _json(
            {
                "items": [_wire_item(item) for item in page],
                "has_more": len(page) < len(items),
                "as_of": found.revision,
            }
        )

    async def _transaction(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_Transaction)
        values = [base64.b64decode(write.value) for write in body.writes]
        if any(len(value) > _MAX_VALUE_BYTES for value in values):
            raise web.HTTPBadRequest()
        done = self.state.commit(
            store.Transaction(
                {row.key: ids.Revision(row.revision) for row in body.expect},
                tuple(
                    store.Write(write.key, value, str(write.lease or ""))
                    for write, value in zip(body.writes, values, strict=True)
                ),
                tuple(body.remove),
            )
        )
        if done.is_ok():
            return _json({"revision": done.ok})
        if isinstance(done.error, store.PreconditionFailed):
            items = [_wire_item(item) for item in done.error.items]
            return _json({"items": items}, status=412)
        raise web.HTTPNotFound()

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttl_ms"]
        lease = self.state.grant(ttl_ms, time.monotonic())
        return _json({"lease": int(lease), "ttl_ms": ttl_ms})

    async def _renew(self, request: web.Request) -> web.Response:
        lease = request.match_info["lease"]
        if not self.state.renew(lease, time.monotonic()):
            raise web.HTTPNotFound()
        return _json({})

    async def _end(self, request: web.Request) -> web.Response:
        self.state.end(request.match_info["lease"])
        return _json({})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query["wait_ms"]) / 1_000
        while True:
            found = self.state.changes(prefix, after)
            left_s = deadline_s - time.monotonic()
            if found.items or left_s <= 0:
                events = [_wire_item(item) for item in found.items]
                return _json({"events": events, "as_of": found.revision})
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


def _wire_item(item: store.Item) -> dict[str, object]:
    if item.value is None and item.revision:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    value = base64.b64encode(item.value or b"").decode("ascii")
    return {"key": item.key, "value": value, "revision": item.revision}


def main() -> int:
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    return serving.serve([(StoreServer().application(), options.port)])


if __name__ == "__main__":
    raise SystemExit(main())
