"""One operator's connection to the store, for one command."""

import dataclasses
import uuid

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from wagtailtiller import clock
from wagtailtiller import errors
from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import replica
from wagtailtiller import roster
from wagtailtiller.fleet import writing
from wagtailtiller.platform import store as platform_store
from wagtailtiller.ports import store
from wagtailtiller.settings import change_log
from wagtailtiller.settings import changes

AUDIT_PREFIX = "audit/"


@dataclasses.dataclass(frozen=True)
class Operator:
    """Who gives a command, where, and why.

    Attributes:
        store_url: The platform's key-value service.
        region: The region that fleet commands are for.
        who: The operator's name.
        why: The reason, kept in the audit trail.
    """

    store_url: str
    region: ids.RegionId
    who: str
    why: str


class AuditEntry(msgspec.Struct, frozen=True):
    """A fleet command that an operator gave."""

    who: str
    why: str
    at_ms: int
    region: ids.RegionId
    command: str
    detail: dict[str, object]


class Session:
    """Reads the shared state once and writes what the operator asks for.

    Args:
        operator: Who asks.
    """

    def __init__(self, operator: Operator) -> None:
        self.operator = operator
        self.store = platform_store.PlatformStore(operator.store_url, "ctl")
        self.replica = replica.Replica(operator.region)
        self._clock = clock.SystemClock()

    async def load(self) -> errors.StoreUnavailable | None:
        """Read the shared state; returns the error, if any."""
        answer = await self.store.read(replica.PREFIX)
        if answer.is_error():
            return answer.error
        newest_revision = max(
            (item.revision for item in answer.ok.items), default=0
        )
        self.replica.load(answer.ok.items, newest_revision)
        return None

    def wall_ms(self) -> int:
        """Return the time, Unix milliseconds."""
        return self._clock.wall_ms()

    async def close(self) -> None:
        """Close the connection."""
        await self.store.close()

    async def change(
        self, patch: changes.Plain, expected: int | None
    ) -> change_log.AppendResult:
        """Append a settings change.

        Args:
            patch: A merge patch.
            expected: The revision that the operator has seen; None for the
                newest.
        """
        current_settings = self.replica.settings
        if expected is not None and expected != current_settings.revision:
            return await self._stale_conflict(expected)
        change = changes.Change(
            revision=change_log.next_revision(current_settings),
            change=ids.ChangeId(uuid.uuid4().hex),
            who=self.operator.who,
            why=self.operator.why,
            at_ms=self._clock.wall_ms(),
            patch=patch,
        )
        return await change_log.append(self.store, current_settings, change)

    async def command(
        self, command: fleet.Command
    ) -> Result[writing.Written, errors.StoreError | errors.Refused]:
        """Write a fleet command, after its entry in the audit trail."""
        detail = msgspec.to_builtins(command)
        audited = await self._write_audit_entry(type(command).__name__, detail)
        if audited.is_error():
            return Error(audited.error)
        writer = writing.FleetWriter(
            self.store, self.operator.region, self._clock
        )
        catalogue = self.replica.settings.catalogue
        written = await writer.submit(lambda _: [command], catalogue)
        if written.is_error():
            return Error(written.error)
        refusal = written.ok.decisions[0].refusal
        return Error(refusal) if refusal else Ok(written.ok)

    async def strike_off(
        self, gateway: ids.GatewayId
    ) -> Result[roster.Roster, errors.StoreError]:
        """Take a gateway that is known to be dead out of the electorate."""
        audited = await self._write_audit_entry(
            "StrikeOff", {"gateway": gateway}
        )
        if audited.is_error():
            return Error(audited.error)
        key = roster.key(self.operator.region)
        new_roster = roster.strike_off(self.replica.roster, gateway)
        written = await self.store.write(
            key,
            msgspec.json.encode(new_roster),
            self.replica.item_revision(key),
        )
        return written.map(lambda _: new_roster)

    async def history(
        self,
    ) -> Result[list[changes.Change], errors.StoreUnavailable]:
        """Return all settings changes, archived ones included."""
        changes_by_revision: dict[int, changes.Change] = {}
        for prefix in (changes.ARCHIVE_PREFIX, changes.LOG_PREFIX):
            answer = await self.store.read(prefix)
            if answer.is_error():
                return Error(answer.error)
            for item in answer.ok.items:
                change = msgspec.json.decode(
                    item.value or b"", type=changes.Change
                )
                changes_by_revision[change.revision] = change
        return Ok(
            [
                changes_by_revision[revision]
                for revision in sorted(changes_by_revision)
            ]
        )

    async def commands(
        self,
    ) -> Result[list[AuditEntry], errors.StoreUnavailable]:
        """Return the fleet commands that operators gave."""
        answer = await self.store.read(AUDIT_PREFIX + "commands/")
        return answer.map(
            lambda snapshot: [
                msgspec.json.decode(item.value or b"", type=AuditEntry)
                for item in snapshot.items
            ]
        )

    async def _write_audit_entry(
        self, command: str, detail: dict[str, object]
    ) -> Result[ids.Revision, errors.StoreError]:
        at_ms = self._clock.wall_ms()
        entry = AuditEntry(
            who=self.operator.who,
            why=self.operator.why,
            at_ms=at_ms,
            region=self.operator.region,
            command=command,
            detail=detail,
        )
        key = f"{AUDIT_PREFIX}commands/{at_ms:015d}-{uuid.uuid4().hex[:8]}"
        value = msgspec.json.encode(entry)
        return await self.store.write(key, value, store.ABSENT)

    async def _stale_conflict(self, expected: int) -> change_log.AppendResult:
        key = changes.log_key(ids.Revision(expected + 1))
        answer = await self.store.read(key)
        items = answer.ok.items if answer.is_ok() else []
        value = items[0].value if items else None
        revision = self.replica.settings.revision
        return Error(errors.Conflict(key, value, revision))
