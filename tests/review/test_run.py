"""Tests of the program that plays the cases in ``review/``."""

import pathlib
import tempfile
import time

import testtools

from support.review import run
from tests.review import usage


class PlayTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)

    def play(self, text, is_known=False, time_limit_s=10.0):
        script = self.root / "run.sh"
        script.write_text(f"#!/bin/sh\n{text}\n", encoding="utf-8")
        script.chmod(0o755)
        return run.play(self.root, "run.sh", is_known, time_limit_s)

    def test_exit_codes_are_judged(self):
        for exit_code, is_known, has_failed in (
            (0, False, False),
            (0, True, False),
            (1, False, True),
            (1, True, False),
            (2, False, True),
            (2, True, True),
        ):
            result = self.play(f"exit {exit_code}", is_known)
            self.assertEqual(exit_code, result.exit_code)
            self.assertEqual(has_failed, result.has_failed(), result)

    def test_script_that_crashes_counts_as_not_run(self):
        self.assertEqual(2, self.play("exit 137").exit_code)

    def test_case_that_hangs_is_ended_with_all_that_it_has_started(self):
        """Guards against a case that holds up all others."""
        started_s = time.monotonic()
        marker = self.root / "alive"
        result = self.play(
            f"(sleep 1; touch {marker}) &\nsleep 60", time_limit_s=0.3
        )
        self.assertEqual((2, True), (result.exit_code, result.ended))
        self.assertTrue(result.has_failed())
        self.assertLess(time.monotonic() - started_s, 10.0)
        time.sleep(1.2)
        self.assertFalse(marker.exists())


class ScriptTest(testtools.TestCase):
    def test_cases_are_found_in_order(self):
        scripts = run.find_scripts(usage.ROOT)
        self.assertEqual("review/1/run.sh", scripts[0])
        self.assertLess(
            scripts.index("review/9/run.sh"), scripts.index("review/10/run.sh")
        )
        self.assertIn("review/others-2/pending/run.sh", scripts)

    def test_known_faults_are_found_by_their_script(self):
        text = "11. gangs: review/others/gang/run.sh, no seed; 5 of 5 broken"
        self.assertEqual({"review/others/gang/run.sh"}, run.read_known(text))
