"""Tests of the bounded log writer."""

import os

import testtools

from wagtailtiller import logs


class LineWriterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now_s = 0.0
        self.lines = logs.LineWriter(
            self.writer,
            lambda count: f"left out {count}".encode(),
            lambda: self.now_s,
        )

    def read(self):
        return os.read(self.reader, 1 << 20).decode().splitlines()

    def test_a_line_is_written(self):
        self.lines.put(b"one")
        self.assertEqual(["one"], self.read())

    def test_a_reader_that_is_stuck_blocks_nobody(self):
        for _ in range(2_000):
            self.lines.put(b"x" * 200)
        self.assertFalse(self.lines.flush())

    def test_lines_above_the_rate_are_counted(self):
        for _ in range(5_000):
            self.lines.put(b"x")
            self.lines.flush()
            if self.lines._left_out == 0:
                self.read()
        left_out = self.lines._left_out
        self.assertGreater(left_out, 0)
        self.now_s += 1.0
        self.lines.put(b"after")
        self.assertEqual([f"left out {left_out}", "after"], self.read())

    def test_vital_lines_are_kept(self):
        for _ in range(5_000):
            self.lines.put(b"x")
            if self.lines._left_out:
                break
            self.read()
        self.lines.put(b"stop", vital=True)
        self.assertIn("stop", self.read())
