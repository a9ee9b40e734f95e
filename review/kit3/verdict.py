"""Runs a case in a temporary folder and turns its result into an exit code."""

from collections.abc import Callable
import pathlib
import os
import sys
import tempfile
import traceback

from review.kit3 import site as site_module

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case did not come to the point at which it can judge."""


def run(
    folder: pathlib.Path,
    make_site: Callable[[pathlib.Path], site_module.Site],
    play: Callable[[site_module.Site, site_module.Record, bool], list[str]],
) -> int:
    """Play a case.

    Args:
        folder: Folder of the case, which gets ``record.txt``.
        make_site: Returns the deployment; its argument is a temporary folder.
        play: Plays the case with or without the disruption, and returns how
            the rule was broken.

    Returns:
        The exit code.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = site_module.Record(folder / "record.txt")
    record.write(f"trouble={trouble}")
    with tempfile.TemporaryDirectory() as name:
        site = make_site(pathlib.Path(name))
        try:
            try:
                site.start()
            except TimeoutError:
                # Another program may have taken a port that was free.
                site.stop()
                site = make_site(pathlib.Path(name))
                site.start()
            record.write("all processes are ready")
            broken = play(site, record, trouble)
            for number, row in enumerate(site.runs()):
                record.write(f"run {number}: {row}")
        except Exception as error:
            record.write(f"not run: {error!r}")
            traceback.print_exc()
            return NOT_RUN
        finally:
            site.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in pathlib.Path(name).glob("*.log"):
                    (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    for text in broken:
        record.write(f"BROKEN: {text}")
    record.write("the rule was broken" if broken else "the rule held")
    print("\n".join(broken) or "held", file=sys.stderr)
    return BROKEN if broken else HELD
