"""Access to the store for the duration of one operator command."""

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
    """The operator who gives a command, and where and why.

    Attributes:
        store_url: URL of the platform's key-value service.
        region: Region that fleet commands apply to.
        who: The operator's name.
        why: The reason, which is kept in the audit trail.
    """

    store_url: str
    region: ids.RegionId
    who: str
    why: str


class AuditEntry(msgspec.Struct, frozen=True):
    """A fleet command that an operator gave.

    Attributes:
        who: The operator's name.
        why: The operator's reason.
        at_ms: Time of the command, in wall-clock milliseconds.
        region: Region that the command applies to.
        command: Name of the command's class.
        detail: Fields of the command.
    """

    who: str
    why: str
    at_ms: int
    region: ids.RegionId
    command: str
    detail: dict[str, object]


class OperatorSession:
    """Reads the shared state and writes an operator's changes.

    Args:
        operator: The operator who gives the command.

    Attributes:
        operator: The operator who gives the command.
        store: Client of the store.
        replica: Copy of the shared state; empty until ``load``.
    """

    def __init__(self, operator: Operator) -> None:
        self.operator = operator
        self.store = platform_store.PlatformStore(operator.store_url, "ctl")
        self.replica = replica.Replica(operator.region)
        self._clock = clock.SystemClock()

    async def load(self) -> errors.StoreUnavailable | None:
        """Read the shared state into the replica; return the error, if any."""
        result = await self.store.read(replica.PREFIX)
        if result.is_error():
            return result.error
        newest_revision = max(
            (item.revision for item in result.ok.items), default=0
        )
        self.replica.load(result.ok.items, newest_revision)
        return None

    def wall_ms(self) -> int:
        """Return the wall-clock time in Unix milliseconds."""
        return self._clock.wall_ms()

    async def close(self) -> None:
        """Close the connection to the store."""
        await self.store.close()

    async def change(
        self, patch: changes.JsonObject, expected: int | None
    ) -> change_log.AppendResult:
        """Append a settings change.

        Args:
            patch: The merge patch to append.
            expected: The revision that the operator has seen; None for
                the newest revision.

        Returns:
            The appended change, or the reason why it was not appended.
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
    ) -> Result[writing.FleetWriteResult, errors.StoreError | errors.Refused]:
        """Write a fleet command, after its entry in the audit trail.

        Args:
            command: The command to apply.

        Returns:
            The fleet after the command, the store's error, or the reason why
            the fleet's rules refuse the command.
        """
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
        """Remove a gateway that is known to be dead from the electorate.

        Args:
            gateway: An unaccounted gateway.

        Returns:
            The new roster, or the store's error.
        """
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
        """Return all settings changes by revision, including archived ones."""
        changes_by_revision: dict[int, changes.Change] = {}
        for prefix in (changes.ARCHIVE_PREFIX, changes.LOG_PREFIX):
            result = await self.store.read(prefix)
            if result.is_error():
                return Error(result.error)
            for item in result.ok.items:
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
        """Return the audit entries of fleet commands."""
        result = await self.store.read(AUDIT_PREFIX + "commands/")
        return result.map(
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
        result = await self.store.read(key)
        items = result.ok.items if result.is_ok() else []
        value = items[0].value if items else None
        revision = self.replica.settings.revision
        return Error(errors.Conflict(key, value, revision))
