"""Commands on nodes of the settings tree: pools and queues."""

import json
from typing import Any
from typing import ClassVar

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from wagtailtiller import errors
from wagtailtiller import fleet
from wagtailtiller.ctl import base
from wagtailtiller.ctl import output
from wagtailtiller.ctl import session as session_module
from wagtailtiller.ctl import settings_commands
from wagtailtiller.settings import changes

_SET = option("set", None, "Set a value, as FIELD=VALUE.", False, multiple=True)


class NodeCommand(base.StoreCommand):
    """A command that lists nodes of one kind or sets values of a node."""

    options: ClassVar[list[Option]] = [
        *base.StoreCommand.options,
        _SET,
        settings_commands.EXPECT,
    ]

    async def set_values(
        self, session: session_module.OperatorSession, path: str
    ) -> int:
        """Set the values given with ``--set`` on a node.

        Args:
            session: Session to write the change with.
            path: Path of the node, such as ``/tree/pools/plates``.

        Returns:
            The exit code.
        """
        values: dict[str, Any] = {}
        for assignment in self.option("set"):
            field, separator, value = assignment.partition("=")
            if not separator:
                error = errors.InvalidSetting(
                    "--set", assignment, "expected FIELD=VALUE"
                )
                return self.fail(error)
            values[field] = _parse_value(value)
        patch: changes.JsonObject = {"values": values}
        for part in reversed(path.strip("/").split("/")):
            patch = {part: patch}
        return await settings_commands.append_patch(self, session, patch)


class PoolCommand(NodeCommand):
    """Lists pools or changes one."""

    name = "pool"
    description = (
        "List pools or change one."
        " Example: wagtailctl pool plates --set max_unavailable_vms=2"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("pool", "The pool.", optional=True)
    ]

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Change the pool if values are given, or else list pools."""
        pools = session.replica.settings.catalogue.pools
        name = self.argument("pool")
        if name and name not in pools:
            return self.not_found(f"pool {name}")
        if self.option("set"):
            return await self.set_values(session, pools[name].path)
        selected = [pools[name]] if name else list(pools.values())
        counts = fleet.count_states(session.replica.fleet)
        rows = [
            (
                pool.pool,
                sum(counts[pool.pool].values()),
                counts[pool.pool][fleet.VmState.SERVING],
                fleet.unavailable(session.replica.fleet, pool.pool),
                pool.max_unavailable_vms,
            )
            for pool in selected
        ]
        headings = ("POOL", "VMS", "SERVING", "UNAVAILABLE", "ALLOWED")
        self.show(headings, rows, selected)
        return output.ExitCode.OK


class QueueCommand(NodeCommand):
    """Lists queues or changes one."""

    name = "queue"
    description = (
        "List queues or change one."
        " Example: wagtailctl queue proofs --set deadline_ms=5000"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("queue", "The queue.", optional=True)
    ]

    async def perform(self, session: session_module.OperatorSession) -> int:
        """Change the queue if values are given, or else list queues."""
        queues = session.replica.settings.catalogue.queues
        name = self.argument("queue")
        if name and name not in queues:
            return self.not_found(f"queue {name}")
        if self.option("set"):
            return await self.set_values(session, queues[name].path)
        selected = [queues[name]] if name else list(queues.values())
        rows = [
            (
                queue.queue,
                queue.pool,
                queue.priority.name.lower(),
                queue.deadline_ms,
                queue.idempotent,
                queue.owner or "-",
            )
            for queue in selected
        ]
        headings = (
            "QUEUE",
            "POOL",
            "PRIORITY",
            "DEADLINE_MS",
            "IDEMPOTENT",
            "OWNER",
        )
        self.show(headings, rows, selected)
        return output.ExitCode.OK


def _parse_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
