"""Tests that the cases in ``review/`` find all that they use.

They guard against a change of this project by which a case can't be played any
more, or plays something else than it says.
"""

import asyncio
import importlib
import inspect
import subprocess
import sys

from aiohttp import test_utils
import testtools

from review.kit3 import gang_workers
from review.kit3 import late_workers
from review.kit3 import site as kit_site
from support.review import interface
from support.standins import links
from support.standins import store
from support.standins import workers
from tests.review import usage
from wagtailtiller import ids
from wagtailtiller import keys
from wagtailtiller.ownership import shard
from wagtailtiller.platform import settings

_KITS = (late_workers, gang_workers)


def _create_worker(worker_class):
    return worker_class("m-1", "renders", 1, 1, [])


def _create_machines(machines_class):
    return machines_class("127.0.0.1:1", [], 0)


_CREATE = {"Worker": _create_worker, "Machines": _create_machines}


def _applications():
    return {
        "support.standins.workers": _create_machines(
            workers.Machines
        ).application(),
        "support.standins.store": store.StoreServer().application(),
        "support.standins.links": links.Network([]).application(),
    }


def _paths(application):
    return {
        (route.method, route.resource.canonical)
        for route in application.router.routes()
        if route.method != "HEAD"
    }


def _served(application, method, path):
    """Return the function that serves a request."""
    request = test_utils.make_mocked_request(method, path)
    match = asyncio.run(application.router.resolve(request))
    return match.handler.__func__


def _parameters(function):
    return list(inspect.signature(function).parameters)


def _members(module_name, class_name):
    """Return all names of a class, with those of its instances."""
    owner = getattr(importlib.import_module(module_name), class_name)
    names = set(dir(owner)) | set(getattr(owner, "__dataclass_fields__", ()))
    if module_name == workers.__name__ and class_name in _CREATE:
        names |= set(vars(_CREATE[class_name](owner)))
    elif class_name == "SiteLinks":
        names |= set(vars(owner({}, {}, 1)))
    return names


class KitServiceTest(testtools.TestCase):
    """The services of review/kit3, which extend a stand-in."""

    def test_each_path_that_a_kit_adds_is_served_by_the_kit(self):
        """Guards against a path of a stand-in that hides one of a case."""
        for kit in _KITS:
            application = _create_machines(kit.Machines).application()
            added = [
                (route.method, route.resource.canonical)
                for route in application.router.routes()
                if route.handler.__func__.__module__ == kit.__name__
                and route.method != "HEAD"
            ]
            self.assertNotEqual([], added)
            for method, path in added:
                serving = _served(application, method, path)
                self.assertEqual(
                    kit.__name__, serving.__module__, f"{method} {path}"
                )

    def test_new_paths_of_the_stand_in_have_their_prefix(self):
        """Guards against a path that the next case may take as well."""
        known = interface.PROGRAMS[workers.__name__].paths | {
            ("POST", "/fault"),
            ("POST", "/partition"),
        }
        application = _create_machines(workers.Machines).application()
        for method, path in _paths(application) - known:
            self.assertTrue(
                path.startswith(interface.NEW_PATH_PREFIX), f"{method} {path}"
            )

    def test_stand_in_has_no_name_that_a_kit_has_taken(self):
        """Guards against a method of a stand-in that a case replaces."""
        listed = interface.MODULES[workers.__name__].classes
        kit_classes = {
            "Worker": (late_workers.LateWorker, gang_workers.GangWorker),
            "Machines": (late_workers.Machines, gang_workers.Machines),
        }
        for name, own_classes in kit_classes.items():
            taken = (
                _members(workers.__name__, name) - listed[name].methods.keys()
            )
            for own_class in own_classes:
                own = {n for n in vars(own_class) if not n.startswith("__")}
                self.assertEqual(set(), own & taken, own_class)

    def test_methods_that_a_kit_overrides_have_its_parameters(self):
        """Guards against a call that a method of a case doesn't accept."""
        listed = interface.MODULES[workers.__name__].classes
        for kit in _KITS:
            for own_class in vars(kit).values():
                if not inspect.isclass(own_class):
                    continue
                base = own_class.__base__
                if base not in (workers.Worker, workers.Machines):
                    continue
                methods = listed[base.__name__].methods
                for name in vars(own_class).keys() & methods.keys():
                    self.assertEqual(
                        _parameters(getattr(base, name)),
                        _parameters(getattr(own_class, name)),
                        name,
                    )

    def test_next_life_of_a_kit_forgets_all_that_the_stand_in_forgets(self):
        """Guards against a next life that knows something of its former one."""
        assigned = set()

        class Recorded(late_workers.LateWorker):
            def __setattr__(self, name, value):
                assigned.add(name)
                super().__setattr__(name, value)

        worker = _create_worker(Recorded)
        assigned.clear()
        worker.begin_life()
        forgotten = set(assigned)
        assigned.clear()
        worker.start_again()
        self.assertEqual(set(), forgotten - assigned)


class InterfaceTest(testtools.TestCase):
    """The tables of support/review/interface.py."""

    def test_listed_names_exist_with_their_parameters(self):
        """Guards against a name that a case uses and that is renamed."""
        for module_name, used in interface.MODULES.items():
            module = importlib.import_module(module_name)
            for name, parameters in used.functions.items():
                self.check_parameters(getattr(module, name), parameters)
            for name in used.names:
                self.assertTrue(hasattr(module, name), name)
            for name, class_use in used.classes.items():
                members = _members(module_name, name)
                self.assertEqual(set(), class_use.fields - members, name)
                for method, parameters in class_use.methods.items():
                    self.check_parameters(
                        getattr(getattr(module, name), method),
                        ("self", *parameters),
                    )

    def check_parameters(self, function, expected):
        parameters = list(inspect.signature(function).parameters.values())
        count = len(expected)
        self.assertEqual(
            list(expected), [p.name for p in parameters[:count]], function
        )
        for added in parameters[count:]:
            self.assertIsNot(inspect.Parameter.empty, added.default, function)

    def test_cases_use_only_listed_names(self):
        """Guards against a case whose needs the tables don't show."""
        listed_private = {
            name
            for used in interface.MODULES.values()
            for class_use in used.classes.values()
            for name in (*class_use.methods, *class_use.fields)
        }
        for file in usage.files():
            for module, name in file.module_names():
                used = interface.MODULES[module]
                names = {*used.classes, *used.functions, *used.names}
                self.assertIn(name, names, file.path)
            if not file.modules:
                continue
            listed = listed_private | {
                name
                for used in interface.MODULES.values()
                for name in (*used.functions, *used.classes)
            }
            self.assertEqual(set(), file.private_names() - listed, file.path)

    def test_cases_start_only_listed_programs_and_read_listed_keys(self):
        programs = {*interface.PROGRAMS, *interface.MODULES}
        for file in usage.files():
            for text in file.strings():
                if text.startswith("support."):
                    self.assertIn(text, programs, file.path)
                if "wagtail/" in text:
                    self.assertEqual(
                        interface.OWNER_KEY_PREFIX, text, file.path
                    )

    def test_programs_serve_the_listed_paths(self):
        for name, application in _applications().items():
            missing = interface.PROGRAMS[name].paths - _paths(application)
            self.assertEqual(set(), missing, name)

    def test_programs_accept_the_listed_flags(self):
        for name, program in interface.PROGRAMS.items():
            shown = subprocess.run(
                [sys.executable, "-m", name, "--help"],
                cwd=usage.ROOT,
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for flag in program.flags:
                self.assertIn(flag, shown, name)

    def test_records_have_the_listed_fields(self):
        fields = set(workers.Record.__dataclass_fields__)
        self.assertEqual(set(), interface.RECORD_FIELDS - fields)

    def test_entry_process_reads_the_settings_of_a_case(self):
        site = kit_site.Site(usage.ROOT)
        for name in site.addresses:
            self.assertTrue(settings.decode(site.settings(name)).is_ok())
        self.assertEqual(interface.SETTINGS_VARIABLE, settings.PATH_ENV_VAR)

    def test_owners_and_addresses_are_stored_under_the_listed_keys(self):
        pool = shard.PoolShard(ids.PoolId("renders"))
        prefix = interface.OWNER_KEY_PREFIX
        self.assertEqual(f"{prefix}renders", keys.owner(pool))
        self.assertEqual(f"{prefix}machines", keys.owner(shard.MachinesShard()))
