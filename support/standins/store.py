"""Stand-in for the platform's key-value store, with injected faults.

``POST /fault?mode=down|slow|lose|up`` sets the fault. ``lose`` drops the
responses to writes after they have taken effect. ``slow`` delays each call by
the parameter ``delay_ms``.
"""

import argparse
import asyncio
import base64
import collections
from collections.abc import Iterable
import dataclasses
import enum
import itertools
import pathlib
import time

from aiohttp import web
from expression import Error
from expression import Ok
import msgspec

from support.standins import serving
from support.standins import views
from wagtailtiller import ids
from wagtailtiller.ports import store

_MAX_KEY_BYTES = 200
_MAX_VALUE_BYTES = 1_000_000
_EXPIRY_SCAN_MS = 100
_MAX_PAGE_ITEMS = 500
_START_LINES_BYTES = 130
_VIEW = web.AppKey("view", views.View)


class FaultMode(enum.Enum):
    """Fault of the stand-in.

    Attributes:
        UP: No fault.
        DOWN: All calls fail.
        SLOW: All calls are delayed.
        LOSE: The responses to writes are lost after they have taken effect.
    """

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE = "lose"


class _Precondition(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct):
    expect: list[_Precondition] = msgspec.field(
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
    """Keys, leases and change history of a store, without a transport.

    Attributes:
        revision: Revision of the last commit.
        changed: Event that is set, and replaced, at each change of a key.
    """

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
        """Return each change after a revision, in the order of the revisions.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
        """
        newer = itertools.takewhile(
            lambda item: item.revision > after, reversed(self._changes)
        )
        items = [item for item in newer if item.key.startswith(prefix)]
        items.reverse()
        return store.Snapshot(items, ids.Revision(self.revision))

    def commit(self, transaction: store.Transaction) -> store.CommitResult:
        """Apply a transaction.

        Returns:
            The new revision; ``PreconditionFailed`` with the current items if
            a key does not have its expected revision; ``LeaseLapsed`` if a
            write names a lease that does not exist.
        """
        expected = transaction.expected.items()
        if any(self._current_revision(k) != r for k, r in expected):
            items = tuple(self.item(key) for key in transaction.expected)
            return Error(store.PreconditionFailed(items))
        lease_ids = {write.lease for write in transaction.writes if write.lease}
        if not lease_ids <= self._leases.keys():
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
        """Write one key if it has the expected revision."""
        return self.commit(
            store.Transaction(
                {key: ids.Revision(expected)},
                (store.Write(key, value, lease),),
            )
        )

    def delete(self, key: str, expected: int) -> store.CommitResult:
        """Delete one key if it has the expected revision."""
        return self.commit(
            store.Transaction({key: ids.Revision(expected)}, deletes=(key,))
        )

    def grant(self, ttl_ms: int, now_s: float) -> str:
        """Create a lease and return its id.

        Args:
            ttl_ms: Time to live in milliseconds.
            now_s: Current time in seconds.
        """
        lease = str(next(self._lease_ids))
        ttl_s = ttl_ms / 1_000
        self._leases[lease] = _Lease(now_s + ttl_s, ttl_s, set())
        return lease

    def renew(self, lease: str, now_s: float) -> bool:
        """Renew a lease; returns False if it has expired."""
        if lease not in self._leases:
            return False
        record = self._leases[lease]
        record.expires_s = now_s + record.ttl_s
        return True

    def end(self, lease: str) -> None:
        """End a lease and delete its keys."""
        record = self._leases.pop(lease, None)
        for key in record.keys if record is not None else ():
            entry = self._entries.get(key)
            if entry is not None and entry.lease == lease:
                self.commit(store.Transaction({}, deletes=(key,)))

    def expire(self, now_s: float) -> None:
        """End the expired leases and delete their keys."""
        for lease, record in list(self._leases.items()):
            if record.expires_s > now_s:
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
        """Return a key; its value is None if it does not exist."""
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
    """HTTP interface of the stand-in.

    Attributes:
        state: Contents of the store.
        mode: Current fault.
        delay_ms: Delay of each call in mode ``SLOW``.
        calls: Number of calls by method and path and by user agent, and
            approximate bytes by user agent.
    """

    def __init__(self) -> None:
        self.state = StoreState()
        self.mode = FaultMode.UP
        self.delay_ms = 0
        self.calls: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Return the application, which also expires the leases."""
        app = self.application_for(views.View())
        app.cleanup_ctx.append(self._run_background)
        return app

    def application_for(self, view: views.View) -> web.Application:
        """Return the application that serves the process with a view."""

        @web.middleware
        async def faults(
            request: web.Request, handler: serving.Handler
        ) -> web.StreamResponse:
            return await self._apply_fault(request, handler)

        app = web.Application(
            client_max_size=2 * _MAX_VALUE_BYTES, middlewares=[faults]
        )
        app[_VIEW] = view
        app.router.add_get("/v1/kv-key", self._get_key)
        app.router.add_get("/v1/kv-range", self._list_range)
        app.router.add_get("/v1/kv-watch", self._watch)
        app.router.add_post("/v1/kv-txn", self._commit_transaction)
        app.router.add_post("/v1/kv-lease", self._grant_lease)
        app.router.add_post("/v1/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/v1/kv-lease-end/{lease}", self._end_lease)
        app.router.add_post("/fault", self._set_fault)
        app.router.add_get("/calls", self._list_calls)
        return app

    async def _apply_fault(
        self, request: web.Request, handler: serving.Handler
    ) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        user_agent = request.headers.get("User-Agent", "")
        self.calls[f"{request.method} {request.path}"] += 1
        self.calls[f"by {user_agent}"] += 1
        if self.mode is FaultMode.DOWN:
            raise web.HTTPServiceUnavailable()
        if self.mode is FaultMode.SLOW:
            await asyncio.sleep(self.delay_ms / 1_000)
        response = await handler(request)
        self.calls[f"bytes {user_agent}"] += _estimate_bytes(request, response)
        if self.mode is FaultMode.LOSE and request.method != "GET":
            raise web.HTTPGatewayTimeout()
        return response

    async def _get_key(self, request: web.Request) -> web.Response:
        item = self.state.item(request.query["key"])
        if item.value is None:
            raise web.HTTPNotFound()
        return _json(_wire_item(item, request.app[_VIEW]))

    async def _list_range(self, request: web.Request) -> web.Response:
        snapshot = self.state.read(request.query["prefix"])
        after = request.query.get("after", "")
        items = [item for item in snapshot.items if item.key > after]
        page = items[:_MAX_PAGE_ITEMS]
        return _json(
            {
                "items": _wire_items(page, request),
                "has_more": len(page) < len(items),
                "as_of": snapshot.revision,
            }
        )

    async def _commit_transaction(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_Transaction)
        view = request.app[_VIEW]
        values = [
            view.write(base64.b64decode(write.value)) for write in body.writes
        ]
        if any(len(value) > _MAX_VALUE_BYTES for value in values):
            raise web.HTTPBadRequest()
        if any(len(w.key.encode()) > _MAX_KEY_BYTES for w in body.writes):
            raise web.HTTPBadRequest()
        result = self.state.commit(
            store.Transaction(
                {row.key: ids.Revision(row.revision) for row in body.expect},
                tuple(
                    store.Write(write.key, value, str(write.lease or ""))
                    for write, value in zip(body.writes, values, strict=True)
                ),
                tuple(body.remove),
            )
        )
        if result.is_ok():
            return _json({"revision": result.ok})
        if isinstance(result.error, store.PreconditionFailed):
            items = _wire_items(result.error.items, request)
            return _json({"items": items}, status=412)
        raise web.HTTPNotFound()

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttl_ms"]
        lease = self.state.grant(ttl_ms, time.monotonic())
        return _json({"lease": int(lease), "ttl_ms": ttl_ms})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = request.match_info["lease"]
        if not self.state.renew(lease, time.monotonic()):
            raise web.HTTPNotFound()
        return _json({})

    async def _end_lease(self, request: web.Request) -> web.Response:
        self.state.end(request.match_info["lease"])
        return _json({})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query["wait_ms"]) / 1_000
        while True:
            snapshot = self.state.changes(prefix, after)
            remaining_s = deadline_s - time.monotonic()
            if snapshot.items or remaining_s <= 0:
                events = _wire_items(snapshot.items, request)
                return _json({"events": events, "as_of": snapshot.revision})
            if self.mode is FaultMode.DOWN:
                raise web.HTTPServiceUnavailable()
            changed = self.state.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _set_fault(self, request: web.Request) -> web.Response:
        self.mode = FaultMode(request.query["mode"])
        self.delay_ms = int(request.query.get("delay_ms", "0"))
        return _json({"mode": self.mode.value})

    async def _list_calls(self, request: web.Request) -> web.Response:
        return _json(dict(self.calls))

    async def _run_background(self, app: web.Application) -> serving.Context:
        task = asyncio.create_task(self._expire_leases())
        yield
        task.cancel()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_SCAN_MS / 1_000)
            self.state.expire(time.monotonic())


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def _estimate_bytes(request: web.Request, response: web.StreamResponse) -> int:
    """Return the approximate size of a request and its response in bytes."""
    header_items = [*request.headers.items(), *response.headers.items()]
    header_bytes = sum(
        len(name) + len(value) + 4 for name, value in header_items
    )
    body = getattr(response, "body", None) or b""
    line_bytes = len(request.path_qs) + _START_LINES_BYTES
    content_bytes = (request.content_length or 0) + len(body)
    return header_bytes + line_bytes + content_bytes


def _wire_items(
    items: Iterable[store.Item], request: web.Request
) -> list[dict[str, object]]:
    view = request.app[_VIEW]
    return [_wire_item(item, view) for item in items]


def _wire_item(item: store.Item, view: views.View) -> dict[str, object]:
    if item.value is None and item.revision:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    value = base64.b64encode(view.read(item.value or b"")).decode("ascii")
    return {"key": item.key, "value": value, "revision": item.revision}


def main() -> int:
    """Serve the stand-in until SIGTERM; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument(
        "--views", type=pathlib.Path, help="JSON list of the processes' views"
    )
    options = parser.parse_args()
    server = StoreServer()
    applications = [(server.application(), options.port)]
    for view in _read_views(options.views):
        applications.append((server.application_for(view), view.port))
    return serving.serve(applications)


def _read_views(path: pathlib.Path | None) -> list[views.View]:
    if path is None:
        return []
    return msgspec.json.decode(path.read_bytes(), type=list[views.View])


if __name__ == "__main__":
    raise SystemExit(main())
