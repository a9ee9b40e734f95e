"""Lays a shipped site example out on loopback ports."""

import dataclasses
import json
import pathlib

from support.demo import ports
from wagtailtiller import settings
from wagtailtiller.settings import validation

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@dataclasses.dataclass(frozen=True)
class QueuePlan:
    """How callers load one queue.

    Attributes:
        queue: The queue.
        pool: Its pool.
        tokens: Tokens of the teams that use it.
        idempotent: Whether its requests may be repeated.
    """

    queue: str
    pool: str
    tokens: list[str]
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Site:
    """A site's settings with loopback addresses."""

    region: str
    settings: dict[str, object]
    vm_ports: dict[str, int]
    pools: dict[str, int]
    queues: list[QueuePlan]


def load(name: str) -> Site:
    """Read an example and give every VM a loopback port."""
    text = (_EXAMPLES / f"{name}.jsonc").read_text(encoding="utf-8")
    plain = validation.read_text(text).ok
    vm_ports = {vm: ports.free_port() for vm in plain["vms"]}
    for vm, port in vm_ports.items():
        plain["vms"][vm]["address"] = f"127.0.0.1:{port}"
    region = next(iter(plain["data_centres"].values()))["region"]
    document = validation.check_document(plain).ok
    catalogue = settings.resolve(document)
    tokens = {
        member: [f"demo-{team}" for team in node.teams]
        for member, node in document.members.items()
    }
    queues = [
        QueuePlan(
            queue=queue.queue,
            pool=queue.pool,
            tokens=[
                token
                for member, owned in tokens.items()
                if queue.owner in ("", member)
                for token in owned
            ],
            idempotent=queue.idempotent,
        )
        for queue in catalogue.queues.values()
    ]
    budgets = {
        str(pool.pool): pool.max_unavailable_vms
        for pool in catalogue.pools.values()
    }
    return Site(region, plain, vm_ports, budgets, queues)


def write_json(path: pathlib.Path, value: object) -> str:
    """Write a settings file and return its name."""
    path.write_text(json.dumps(value, indent=1), encoding="utf-8")
    return str(path)
