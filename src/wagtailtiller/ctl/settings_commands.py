"""Commands on the settings tree: validate, apply, get, explain, history."""

import datetime
import pathlib
from typing import Any
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from expression import Error
from expression import Result

from wagtailtiller import errors
from wagtailtiller import settings
from wagtailtiller.ctl import base
from wagtailtiller.ctl import output
from wagtailtiller.ctl import session
from wagtailtiller.settings import changes
from wagtailtiller.settings import reading

EXPECT = option(
    "expect", None, "Fail unless this is the newest revision.", False
)


def read_file(
    path: str,
) -> Result[changes.Plain, errors.InvalidSetting]:
    """Read JSON with comments from a file."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        fault = errors.InvalidSetting(path, str(error), "a readable file")
        return Error(fault)
    return reading.read_text(text)


class ValidateCommand(Command):
    """Checks a settings file without touching the store."""

    name = "validate"
    description = "Check a settings file. Example: wagtailctl validate s.json"
    arguments: ClassVar[list[Argument]] = [
        argument("file", "The settings file, JSON with comments.")
    ]

    def handle(self) -> int:
        """Check the file and return the exit code."""
        plain = read_file(self.argument("file"))
        checked = plain.bind(settings.check_document)
        if checked.is_error():
            self.line_error(str(checked.error).replace("<", "\\<"), "error")
            return output.ExitCode.INVALID
        catalogue = settings.resolve(checked.ok)
        self.line(
            f"valid: {len(catalogue.pools)} pools,"
            f" {len(catalogue.queues)} queues, {len(catalogue.vms)} VMs"
        )
        return output.ExitCode.OK


class ApplyCommand(base.StoreCommand):
    """Replaces the settings by those in a file."""

    name = "apply"
    description = (
        "Put a settings file in force. Example: wagtailctl apply s.json"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("file", "The settings file, JSON with comments.")
    ]
    options: ClassVar[list[Option]] = [*base.StoreCommand.options, EXPECT]

    async def perform(self, current: session.Session) -> int:
        """Append the difference between the file and the settings."""
        plain = read_file(self.argument("file"))
        if plain.is_error():
            return self.fail(plain.error)
        patch = settings.difference(current.replica.settings.plain, plain.ok)
        return await append_patch(self, current, patch)


class GetCommand(base.StoreCommand):
    """Prints the settings, or a part of them."""

    name = "get"
    description = "Print settings. Example: wagtailctl get /tree/values"
    arguments: ClassVar[list[Argument]] = [
        argument("path", "Where, such as /tree/pools.", optional=True)
    ]

    async def perform(self, current: session.Session) -> int:
        """Print what stands at the path."""
        found: Any = current.replica.settings.plain
        path = self.argument("path") or "/"
        for part in path.strip("/").split("/") if path != "/" else ():
            if not isinstance(found, dict) or part not in found:
                return self.not_found(f"setting {path}")
            found = found[part]
        revision = current.replica.settings.revision
        if not self.option("json"):
            self.line(f"// revision {revision}")
        self.line(output.as_json(found))
        return output.ExitCode.OK


class ExplainCommand(base.StoreCommand):
    """Says which ancestor set each value of a node."""

    name = "explain"
    description = (
        "Show where values come from. Example: wagtailctl explain proofs"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("path", "A pool, a queue, or a path in the tree.")
    ]

    async def perform(self, current: session.Session) -> int:
        """Print each value with its source."""
        path = self.argument("path")
        document = current.replica.settings.document
        found = settings.explain(document, path)
        if not found:
            return self.not_found(f"node {path}")
        rows = [(each.field, each.value, each.source) for each in found]
        self.show(("FIELD", "VALUE", "SET BY"), rows, found)
        return output.ExitCode.OK


class HistoryCommand(base.StoreCommand):
    """Prints the audit trail."""

    name = "history"
    description = "Print the audit trail. Example: wagtailctl history --json"

    async def perform(self, current: session.Session) -> int:
        """Print every settings change and fleet command, oldest first."""
        found = await current.history()
        commands = await current.commands()
        if found.is_error():
            return self.fail(found.error)
        if commands.is_error():
            return self.fail(commands.error)
        rows = [
            (c.at_ms, f"r{c.revision}", c.who, c.why, c.patch) for c in found.ok
        ]
        rows += [
            (e.at_ms, e.command, e.who, e.why, e.detail) for e in commands.ok
        ]
        rows.sort(key=lambda row: row[0])
        shown = [
            (_when(at_ms), what, who, why, _shortened(detail))
            for at_ms, what, who, why, detail in rows
        ]
        value = {"settings": found.ok, "commands": commands.ok}
        self.show(("WHEN", "WHAT", "WHO", "WHY", "CHANGE"), shown, value)
        return output.ExitCode.OK


async def append_patch(
    command: base.StoreCommand, current: session.Session, patch: changes.Plain
) -> int:
    """Append a merge patch and report what became of it."""
    expect = command.option("expect")
    if expect is not None and not expect.isdigit():
        fault = errors.InvalidSetting("--expect", expect, "a revision number")
        return command.fail(fault)
    if not patch:
        command.line("nothing to change")
        return output.ExitCode.OK
    expected = int(expect) if expect is not None else None
    appended = await current.change(patch, expected)
    if appended.is_error():
        return command.fail(appended.error)
    command.show(("REVISION",), [(appended.ok.revision,)], appended.ok)
    return output.ExitCode.OK


def _when(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(at_ms / 1_000, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def _shortened(detail: object) -> str:
    text = str(detail)
    return text if len(text) <= 60 else text[:57] + "..."
