"""Small settings and records that many tests start from."""

from wagtailtiller import fleet
from wagtailtiller import ids
from wagtailtiller import settings
from wagtailtiller.settings import changes

POOL = ids.PoolId("plates")
SPARE = ids.PoolId("spare")


def plain(max_unavailable=1, vms=6, **values):
    """A document of two pools; four VMs to a rack."""
    return {
        "tree": {
            "values": {"max_unavailable_vms": max_unavailable, **values},
            "pools": {
                POOL: {
                    "queues": {
                        "exports": {},
                        "previews": {"values": {"idempotent": True}},
                    }
                },
                SPARE: {"values": {"lends": True}, "queues": {"reports": {}}},
            },
        },
        "data_centres": {"kochi-1": {"region": "kerala"}},
        "vms": {
            f"vm-{n}": {
                "address": f"10.0.0.{n + 1}:80",
                "data_centre": "kochi-1",
                "rack": f"rack-{n // 4}",
                "pool": POOL if n < vms - 2 else SPARE,
                "processors": 8,
                "memory_gb": 32,
            }
            for n in range(vms)
        },
        "members": {
            "mayilpeeli": {
                "teams": {"letterers": {"tokens_sha256": ["0" * 64]}}
            }
        },
    }


def current(**options):
    """Settled settings at revision 1."""
    return changes.validate_and_resolve(ids.Revision(1), plain(**options)).ok


def catalogue(**options):
    """The catalogue of ``plain``."""
    return current(**options).catalogue


def enrolled(known: settings.Catalogue):
    """A fleet in which every VM serves its first pool."""
    whole = fleet.Fleet()
    for vm, declared in known.vms.items():
        command = fleet.Enrol(vm, declared.pool, 1)
        whole = fleet.apply(whole, command, known, 0).ok
    return whole
