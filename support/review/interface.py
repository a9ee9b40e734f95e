"""What the cases in ``review/`` use of this project.

The files in ``review/`` are kept as they are, so that all that they import,
override, call or start is an interface: it may grow, but no name, parameter,
path, flag or key of it changes. What it grows by must not have a name that a
case has taken for itself: a service of ``review/kit3`` extends a stand-in and
adds paths of its own, and of two equal paths the first one is served. New paths
of the stand-ins begin with ``/standin/``.

``tests/review/test_interface.py`` compares these tables with the stand-ins and
with the files in ``review/``.
"""

from collections.abc import Mapping
import dataclasses

# Paths that a stand-in may add begin with it; no service in review/ uses it.
NEW_PATH_PREFIX = "/standin/"


@dataclasses.dataclass(frozen=True)
class ClassUse:
    """What the cases use of a class.

    Attributes:
        methods: Parameters without ``self`` of the methods that are called or
            overridden.
        fields: Attributes of an instance that are read or set.
    """

    methods: Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    fields: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class ModuleUse:
    """What the cases use of a module.

    Attributes:
        classes: Classes by name.
        functions: Parameters of the functions by name.
        names: Other names of the module.
    """

    classes: Mapping[str, ClassUse] = dataclasses.field(default_factory=dict)
    functions: Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    names: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class ProgramUse:
    """What the cases use of a program that they start with ``python3 -m``.

    Attributes:
        flags: Flags of its command line.
        paths: Method and path of the requests that it serves.
    """

    flags: frozenset[str]
    paths: frozenset[tuple[str, str]]


# The services of the kits replace the classes Worker and Machines in the module
# before they call main(), which has to create these by their names.
_WORKERS = ModuleUse(
    classes={
        "Worker": ClassUse(
            methods={
                "registration": (),
                "discard_runs": (),
                "_serve_start": ("request",),
                "_serve_hold": ("request",),
                "_read_command": ("request",),
                "_start": ("body",),
                "_end": ("task", "how"),
                "_respond": ("status", "fields"),
                "_accept_token": ("body",),
                "_acknowledge_ends": ("up_to",),
                "_extend_lease": ("until_ms",),
            },
            fields=frozenset(
                {
                    "id",
                    "machine",
                    "mode",
                    "born_ms",
                    "registered_s",
                    "_runs",
                    "_ended",
                    "_started_s",
                    "_token",
                    "_lease_ms",
                    "_highest_number",
                    "_unacknowledged",
                    "_last_position",
                }
            ),
        ),
        "Machines": ClassUse(
            methods={
                "application": (),
                "_start_worker": ("machine",),
                "_register": ("worker",),
                "_unregister": ("worker",),
            },
            fields=frozenset({"_machines", "_tasks", "_cut_off"}),
        ),
        "_Machine": ClassUse(fields=frozenset({"state", "worker", "runner"})),
        "_Run": ClassUse(fields=frozenset({"number"})),
        "Mode": ClassUse(fields=frozenset({"UP", "UNRESPONSIVE"})),
    },
    functions={"main": (), "_json": ("value", "status"), "_wall_ms": ()},
)

MODULES: Mapping[str, ModuleUse] = {
    "support.standins.workers": _WORKERS,
    "support.standins.serving": ModuleUse(names=frozenset({"Context"})),
    "support.standins.store": ModuleUse(),
    "support.demo.ports": ModuleUse(functions={"free_port": ()}),
    "support.demo.site_links": ModuleUse(
        classes={
            "SiteLinks": ClassUse(
                methods={
                    "__init__": ("entries", "machines", "service_port"),
                    "address": ("entry", "destination"),
                    "write_links": ("path",),
                    "write_views": ("path",),
                    "cut_off": ("entries", "machines"),
                    "restore": (),
                },
                fields=frozenset({"port"}),
            )
        }
    ),
}

PROGRAMS: Mapping[str, ProgramUse] = {
    "support.standins.workers": ProgramUse(
        frozenset({"--port", "--store", "--machines"}),
        frozenset(
            {
                ("GET", "/v1/machines"),
                ("POST", "/v1/machine-move"),
                ("POST", "/v1/machine-upkeep"),
                ("GET", "/records"),
            }
        ),
    ),
    "support.standins.store": ProgramUse(
        frozenset({"--port", "--views"}),
        frozenset(
            {
                ("GET", "/calls"),
                ("POST", "/fault"),
                ("GET", "/v1/kv-key"),
                ("POST", "/v1/kv-txn"),
            }
        ),
    ),
    "support.standins.links": ProgramUse(
        frozenset({"--port", "--links"}),
        frozenset({("GET", "/links"), ("POST", "/cut"), ("POST", "/restore")}),
    ),
}

# Fields of each run in GET /records.
RECORD_FIELDS = frozenset(
    {
        "task",
        "run",
        "worker",
        "started_ms",
        "ended_ms",
        "how",
        "acknowledged_ms",
    }
)

# Prefix of the keys of the store under which the owner of a pool, or of the
# machines, names its entry process in the field "node".
OWNER_KEY_PREFIX = "wagtail/live/owners/"
# Part of the keys under which entry processes and owners publish addresses.
PUBLISHED_KEY_PARTS = ("/live/nodes/", "/live/owners/")
# Environment variable with the path of an entry process's settings.
SETTINGS_VARIABLE = "WAGTAILTILLER_BOOT"
