"""Commands on the tree's nodes: pools and queues."""

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
from wagtailtiller.ctl import session
from wagtailtiller.ctl import settings_commands
from wagtailtiller.settings import changes

_SET = option("set", None, "Set FIELD=VALUE.", False, multiple=True)


class NodeCommand(base.StoreCommand):
    """Lists nodes of one kind, or sets values of one of them."""

    options: ClassVar[list[Option]] = [
        *base.StoreCommand.options,
        _SET,
        settings_commands.EXPECT,
    ]

    async def set_values(self, current: session.Session, path: str) -> int:
        """Append the values given with ``--set`` to the node at a path."""
        values: dict[str, Any] = {}
        for text in self.option("set"):
            field, separator, value = text.partition("=")
            if not separator:
                fault = errors.InvalidSetting("--set", text, "FIELD=VALUE")
                return self.fail(fault)
            values[field] = _plain(value)
        patch: changes.Plain = {"values": values}
        for part in reversed(path.strip("/").split("/")):
            patch = {part: patch}
        return await settings_commands.append_patch(self, current, patch)


class PoolCommand(NodeCommand):
    """Lists pools, or changes one."""

    name = "pool"
    description = (
        "List pools or change one."
        " Example: wagtailctl pool plates --set max_unavailable_vms=2"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("pool", "The pool.", optional=True)
    ]

    async def perform(self, current: session.Session) -> int:
        """List or change."""
        pools = current.replica.settings.catalogue.pools
        name = self.argument("pool")
        if name and name not in pools:
            return self.not_found(f"pool {name}")
        if self.option("set"):
            return await self.set_values(current, pools[name].path)
        chosen = [pools[name]] if name else list(pools.values())
        counts = fleet.count_states(current.replica.fleet)
        rows = [
            (
                pool.pool,
                sum(counts[pool.pool].values()),
                counts[pool.pool][fleet.VmState.SERVING],
                fleet.unavailable(current.replica.fleet, pool.pool),
                pool.max_unavailable_vms,
            )
            for pool in chosen
        ]
        headings = ("POOL", "VMS", "SERVING", "UNAVAILABLE", "ALLOWED")
        self.show(headings, rows, chosen)
        return output.ExitCode.OK


class QueueCommand(NodeCommand):
    """Lists queues, or changes one."""

    name = "queue"
    description = (
        "List queues or change one."
        " Example: wagtailctl queue proofs --set deadline_ms=5000"
    )
    arguments: ClassVar[list[Argument]] = [
        argument("queue", "The queue.", optional=True)
    ]

    async def perform(self, current: session.Session) -> int:
        """List or change."""
        queues = current.replica.settings.catalogue.queues
        name = self.argument("queue")
        if name and name not in queues:
            return self.not_found(f"queue {name}")
        if self.option("set"):
            return await self.set_values(current, queues[name].path)
        chosen = [queues[name]] if name else list(queues.values())
        rows = [
            (
                queue.queue,
                queue.pool,
                queue.priority.name.lower(),
                queue.deadline_ms,
                queue.idempotent,
                queue.owner or "-",
            )
            for queue in chosen
        ]
        headings = (
            "QUEUE",
            "POOL",
            "PRIORITY",
            "DEADLINE_MS",
            "IDEMPOTENT",
            "OWNER",
        )
        self.show(headings, rows, chosen)
        return output.ExitCode.OK


def _plain(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text
