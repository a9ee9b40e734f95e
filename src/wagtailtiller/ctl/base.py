"""Base class of the ``wagtailctl`` commands."""

import asyncio
from collections.abc import Sequence
import getpass
import os
from typing import Any
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from wagtailtiller import ids
from wagtailtiller.ctl import output
from wagtailtiller.ctl import session as session_module

_DEFAULT_STORE_URL = "http://127.0.0.1:7000"


class StoreCommand(Command):
    """A command that reads or changes the shared state in the store."""

    options: ClassVar[list[Option]] = [
        option("store", None, "URL of the store [$WAGTAIL_STORE_URL].", False),
        option("region", None, "The region [$WAGTAIL_REGION].", False),
        option("who", None, "Your name [$USER].", False),
        option("why", None, "The reason, kept in the audit trail.", False),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        return asyncio.run(self._handle())

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Do the work of the command.

        Args:
            session: Session whose replica of the shared state is loaded.

        Returns:
            The exit code.
        """
        raise NotImplementedError

    def show(
        self, headings: Sequence[str], rows: Sequence[output.Row], value: Any
    ) -> None:
        """Print a table, or the value as JSON if ``--json`` is given.

        Args:
            headings: Headings of the table's columns.
            rows: Rows of the table.
            value: Value to print as JSON instead of the table.
        """
        if self.option("json"):
            self.line(_escaped(output.format_json(value)))
        else:
            self.line(_escaped(output.table(headings, rows)))

    def fail(self, error: object) -> int:
        """Print an error value and return its exit code."""
        self.line_error(_escaped(output.describe_error(error)), "error")
        return output.exit_code(error)

    def not_found(self, what: str) -> int:
        """Report that an object does not exist and return the exit code.

        Args:
            what: Kind and name of the object, such as ``pool plates``.
        """
        self.line_error(_escaped(f"there is no {what}"), "error")
        return output.ExitCode.NOT_FOUND

    async def _handle(self) -> int:
        session = session_module.OperatorSession(self._operator())
        try:
            error = await session.load()
            if error is not None:
                return self.fail(error)
            return await self.perform(session)
        finally:
            await session.close()

    def _operator(self) -> session_module.Operator:
        env = os.environ
        region = self.option("region") or env.get("WAGTAIL_REGION", "main")
        return session_module.Operator(
            store_url=self.option("store")
            or env.get("WAGTAIL_STORE_URL", _DEFAULT_STORE_URL),
            region=ids.RegionId(region),
            who=self.option("who") or getpass.getuser(),
            why=self.option("why") or "",
        )


def _escaped(text: str) -> str:
    return text.replace("<", "\\<")
