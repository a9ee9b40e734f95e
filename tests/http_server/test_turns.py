"""Tests of the turns of connections with much to parse."""

import asyncio

import testtools

from wagtailtiller.http_server import turns


class _Worker:
    def __init__(self, pieces, fails=False):
        self.pieces = pieces
        self._fails = fails

    def work(self):
        self.pieces -= 1
        if self._fails:
            raise ValueError("unexpected")
        return False

    def has_work(self):
        return self.pieces > 0


class TurnsTest(testtools.TestCase):
    def run_workers(self, *workers):
        async def main():
            loop = asyncio.get_running_loop()
            errors = []
            loop.set_exception_handler(
                lambda _, context: errors.append(context)
            )
            queue = turns.Turns()
            for worker in workers:
                queue.add(worker)
            async with asyncio.timeout(10):
                while any(worker.has_work() for worker in workers):
                    await asyncio.sleep(0)
            return errors

        return asyncio.run(main())

    def test_all_workers_get_their_turns(self):
        """Load pattern: many large bodies in very small chunks."""
        self.assertEqual([], self.run_workers(_Worker(1_000), _Worker(3)))

    def test_error_of_one_worker_does_not_stop_the_others(self):
        errors = self.run_workers(_Worker(1, fails=True), _Worker(100))
        self.assertEqual("unexpected", str(errors[0]["exception"]))
