"""Start of the daemons: command line, settings and event loop."""

import argparse
from collections.abc import Callable
import sys
from typing import TypeVar

from wagtailtiller import runtime  # isort: skip

import aiomisc
import msgspec

from wagtailtiller import events
from wagtailtiller import process_settings

EXIT_BAD_SETTINGS = 2

_T = TypeVar("_T", bound=msgspec.Struct)


def run(
    name: str,
    description: str,
    kind: type[_T],
    create_service: Callable[[_T], aiomisc.Service],
) -> int:
    """Run a daemon until SIGTERM or SIGINT.

    Args:
        name: Name of the program.
        description: Description of the program for ``--help``.
        kind: Type of its process settings.
        create_service: Creates the service from the settings.

    Returns:
        The exit code of the process.
    """
    parser = argparse.ArgumentParser(
        prog=name,
        description=description,
        epilog=f"example: {name} --settings {name}.json",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args()
    loaded = process_settings.load(options.settings, kind)
    if loaded.is_error():
        print(f"{options.settings}: {loaded.error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    events.start_logging()
    return runtime.serve(create_service(loaded.ok))
