"""Commands on the settings: validate, apply, get, explain and history."""

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
from wagtailtiller.ctl import session as session_module
from wagtailtiller.settings import changes
from wagtailtiller.settings import validation

EXPECT = option(
    "expect", None, "Fail unless this is the newest revision.", False
)


def read_file(
    path: str,
) -> Result[changes.JsonObject, errors.InvalidSetting]:
    """Read JSON with comments from a file.

    Args:
        path: Path of the file.

    Returns:
        The top-level object, or the error if the file cannot be read or
        parsed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as os_error:
        error = errors.InvalidSetting(
            path, str(os_error), "expected a readable file"
        )
        return Error(error)
    return validation.read_text(text)


class ValidateCommand(Command):
    """Validates a settings file without connecting to the store."""

    name = "validate"
    description = "Check a settings file. Example: wagtailctl validate s.json"
    arguments: ClassVar[list[Argument]] = [
        argument("file", "The settings file, JSON with comments.")
    ]

    def handle(self) -> int:
        """Validate the file and return the exit code."""
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
    """Replaces the settings with those in a file."""

    name = "apply"
    description = "Apply a settings file. Example: wagtailctl apply s.json"
    arguments: ClassVar[list[Argument]] = [
        argument("file", "The settings file, JSON with comments.")
    ]
    options: ClassVar[list[Option]] = [*base.StoreCommand.options, EXPECT]

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Append the difference between the settings and the file."""
        plain = read_file(self.argument("file"))
        if plain.is_error():
            return self.fail(plain.error)
        patch = settings.create_merge_patch(
            session.replica.settings.plain, plain.ok
        )
        return await append_patch(self, session, patch)


class GetCommand(base.StoreCommand):
    """Prints the settings or a part of them."""

    name = "get"
    description = "Print settings. Example: wagtailctl get /tree/values"
    arguments: ClassVar[list[Argument]] = [
        argument(
            "path", "Path of the part, such as /tree/pools.", optional=True
        )
    ]

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Print the part of the settings at the path."""
        setting: Any = session.replica.settings.plain
        path = self.argument("path") or "/"
        for part in path.strip("/").split("/") if path != "/" else ():
            if not isinstance(setting, dict) or part not in setting:
                return self.not_found(f"setting {path}")
            setting = setting[part]
        revision = session.replica.settings.revision
        if not self.option("json"):
            self.line(f"// revision {revision}")
        self.line(output.format_json(setting))
        return output.ExitCode.OK


class ExplainCommand(base.StoreCommand):
    """Shows which ancestor set each value of a node."""

    name = "explain"
    description = (
        "Show where values come from. Example: wagtailctl explain proofs"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("path", "A pool, a queue, or a path in the tree.")
    ]

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Print each value with its source."""
        path = self.argument("path")
        document = session.replica.settings.document
        explanations = settings.explain(document, path)
        if not explanations:
            return self.not_found(f"node {path}")
        rows = [
            (entry.field, entry.value, entry.source) for entry in explanations
        ]
        self.show(("FIELD", "VALUE", "SET BY"), rows, explanations)
        return output.ExitCode.OK


class HistoryCommand(base.StoreCommand):
    """Prints the audit trail."""

    name = "history"
    description = "Print the audit trail. Example: wagtailctl history --json"

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Print all settings changes and fleet commands, oldest first."""
        history = await session.history()
        commands = await session.commands()
        if history.is_error():
            return self.fail(history.error)
        if commands.is_error():
            return self.fail(commands.error)
        rows = [
            (c.at_ms, f"r{c.revision}", c.who, c.why, c.patch)
            for c in history.ok
        ]
        rows += [
            (e.at_ms, e.command, e.who, e.why, e.detail) for e in commands.ok
        ]
        rows.sort(key=lambda row: row[0])
        shown = [
            (_format_time(at_ms), action, who, why, _truncate(detail))
            for at_ms, action, who, why, detail in rows
        ]
        value = {"settings": history.ok, "commands": commands.ok}
        self.show(("WHEN", "WHAT", "WHO", "WHY", "CHANGE"), shown, value)
        return output.ExitCode.OK


async def append_patch(
    command: base.StoreCommand,
    session: session_module.OperatorSession,
    patch: changes.JsonObject,
) -> int:
    """Append a merge patch to the settings and print the result.

    Args:
        command: Command that is run; it must have the option ``--expect``.
        session: Session to write the change with.
        patch: The merge patch; nothing is written if it is empty.

    Returns:
        The exit code.
    """
    expect = command.option("expect")
    if expect is not None and not expect.isdigit():
        error = errors.InvalidSetting(
            "--expect", expect, "expected a revision number"
        )
        return command.fail(error)
    if not patch:
        command.line("nothing to change")
        return output.ExitCode.OK
    expected = int(expect) if expect is not None else None
    appended = await session.change(patch, expected)
    if appended.is_error():
        return command.fail(appended.error)
    command.show(("REVISION",), [(appended.ok.revision,)], appended.ok)
    return output.ExitCode.OK


def _format_time(at_ms: int) -> str:
    time = datetime.datetime.fromtimestamp(at_ms / 1_000, datetime.UTC)
    return time.strftime("%Y-%m-%d %H:%M:%S")


def _truncate(detail: object) -> str:
    text = str(detail)
    return text if len(text) <= 60 else text[:57] + "..."
