"""Tests that names of the platform occur only in its package."""

import pathlib
import re

import testtools

import wagtailtiller

_PACKAGE = pathlib.Path(wagtailtiller.__file__).parent
# Names on the wire that the rest of the package must not use.
_WIRE_NAMES = re.compile(
    r"fence_token|ack_cursor|anti_affinity|may_miss|run-start|run-stop"
    r"|kv-txn|kv-range|kv-watch|kv-lease|machine-move|machine-upkeep"
    r"|Expected-Instance|Lease-Holder|Fencing-Token|Timeout-Ms"
    r"|cold_left_ms|remaining_ms|stretch_factor|target_latency_ms"
    r"|admission_check|hold_max_ms|WAGTAILTILLER_BOOT|op/config"
)
_ALLOWED_IMPORTERS = {"gateway/main.py", "controller/main.py", "ctl/session.py"}


class BoundaryTest(testtools.TestCase):
    def sources(self):
        for path in sorted(_PACKAGE.rglob("*.py")):
            name = path.relative_to(_PACKAGE).as_posix()
            if not name.startswith("platform/"):
                yield name, path.read_text()

    def test_no_wire_name_outside_platform_package(self):
        found = {
            name: sorted(set(_WIRE_NAMES.findall(text)))
            for name, text in self.sources()
            if _WIRE_NAMES.search(text)
        }
        self.assertEqual({}, found)

    def test_only_entry_points_import_platform_package(self):
        importers = {
            name
            for name, text in self.sources()
            if "wagtailtiller.platform" in text
        }
        self.assertEqual(_ALLOWED_IMPORTERS, importers)

    def test_entry_program_is_importable(self):
        from wagtailtiller.platform import main

        self.assertTrue(callable(main.main))
