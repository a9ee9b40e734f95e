"""Loads the site examples with VM addresses on loopback."""

import dataclasses
import json
import pathlib

from support.demo import ports
from wagtailtiller import settings
from wagtailtiller.settings import validation

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@dataclasses.dataclass(frozen=True)
class QueuePlan:
    """Queue with the data that callers need.

    Attributes:
        queue: Name of the queue.
        pool: Pool of the queue.
        tokens: Tokens of the teams that may use the queue.
        idempotent: Whether its requests may be repeated.
    """

    queue: str
    pool: str
    tokens: list[str]
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Site:
    """Settings of a site with loopback addresses.

    Attributes:
        region: Region of the site.
        settings: Settings document.
        vm_ports: Port of each VM's endpoint.
        budget_by_pool: Number of VMs of each pool that may be unavailable.
        queues: Queues of the site.
    """

    region: str
    settings: dict[str, object]
    vm_ports: dict[str, int]
    budget_by_pool: dict[str, int]
    queues: list[QueuePlan]


def load(name: str) -> Site:
    """Load an example and assign a loopback port to each VM.

    Args:
        name: Name of the example, without its suffix.
    """
    text = (_EXAMPLES / f"{name}.jsonc").read_text(encoding="utf-8")
    document_json = validation.read_text(text).ok
    vm_ports = {vm: ports.free_port() for vm in document_json["vms"]}
    for vm, port in vm_ports.items():
        document_json["vms"][vm]["address"] = f"127.0.0.1:{port}"
    region = next(iter(document_json["data_centres"].values()))["region"]
    document = validation.check_document(document_json).ok
    catalogue = settings.resolve(document)
    tokens_by_member = {
        member: [f"demo-{team}" for team in node.teams]
        for member, node in document.members.items()
    }
    queues = [
        QueuePlan(
            queue=queue.queue,
            pool=queue.pool,
            tokens=[
                token
                for member, member_tokens in tokens_by_member.items()
                if queue.owner in ("", member)
                for token in member_tokens
            ],
            idempotent=queue.idempotent,
        )
        for queue in catalogue.queues.values()
    ]
    budget_by_pool = {
        str(pool.pool): pool.max_unavailable_vms
        for pool in catalogue.pools.values()
    }
    return Site(region, document_json, vm_ports, budget_by_pool, queues)


def write_json(path: pathlib.Path, value: object) -> str:
    """Write a value to a JSON file and return the name of the file."""
    path.write_text(json.dumps(value, indent=1), encoding="utf-8")
    return str(path)
