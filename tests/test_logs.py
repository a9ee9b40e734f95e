"""Tests of the non-blocking log writer."""

import os

import testtools

from wagtailtiller import logs


class LineWriterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, self.write_fd)
        self.now_s = 0.0
        self.line_writer = logs.LineWriter(
            self.write_fd,
            lambda count: f"left out {count}".encode(),
            lambda: self.now_s,
        )

    def read_lines(self):
        return os.read(self.read_fd, 1 << 20).decode().splitlines()

    def test_line_is_written(self):
        self.line_writer.put(b"one")
        self.assertEqual(["one"], self.read_lines())

    def test_blocked_reader_does_not_block_the_writer(self):
        for _ in range(2_000):
            self.line_writer.put(b"x" * 200)
        self.assertFalse(self.line_writer.flush())

    def test_number_of_dropped_lines_is_reported(self):
        for _ in range(5_000):
            self.line_writer.put(b"x")
            self.line_writer.flush()
            if self.line_writer._dropped_count == 0:
                self.read_lines()
        dropped_count = self.line_writer._dropped_count
        self.assertGreater(dropped_count, 0)
        self.now_s += 1.0
        self.line_writer.put(b"after")
        self.assertEqual(
            [f"left out {dropped_count}", "after"], self.read_lines()
        )

    def test_essential_lines_are_exempt_from_the_rate_limit(self):
        for _ in range(5_000):
            self.line_writer.put(b"x")
            if self.line_writer._dropped_count:
                break
            self.read_lines()
        self.line_writer.put(b"stop", essential=True)
        self.assertIn("stop", self.read_lines())
