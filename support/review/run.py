"""Plays the cases in ``review/``, one at a time, and prints each exit code.

A case exits with 0 if its rule held, with 1 if it was broken and with 2 if it
could not run. Exit code 1 is expected of the cases whose script
``KNOWN-RED.txt`` names. A case that takes too long is ended and counts as one
that could not run.
"""

import argparse
import contextlib
import dataclasses
import os
import pathlib
import re
import signal
import subprocess
import sys
import time
import tomllib

_ROOT = pathlib.Path(__file__).parents[2]
_HELD, _BROKEN, _NOT_RUN = 0, 1, 2
_TIME_LIMIT_S = 240.0
_SCRIPT = re.compile(r"review/[\w/-]+/run\.sh")


@dataclasses.dataclass(frozen=True)
class Play:
    """One play of a case.

    Attributes:
        script: Path of its script, from the root of the repository.
        exit_code: Exit code of the script; 2 if it was ended.
        took_s: Duration in seconds.
        ended: Whether it took too long and was ended.
        is_known: Whether ``KNOWN-RED.txt`` names the script.
    """

    script: str
    exit_code: int
    took_s: float
    ended: bool
    is_known: bool

    def has_failed(self) -> bool:
        """Return whether the play shows something that is not known."""
        if self.exit_code == _BROKEN:
            return not self.is_known
        return self.exit_code != _HELD

    def line(self) -> str:
        """Return the play as a line of the report."""
        notes = []
        if self.ended:
            notes.append(f"ended after {_TIME_LIMIT_S:.0f} s")
        if self.is_known:
            notes.append("in KNOWN-RED.txt")
        note = f"  ({', '.join(notes)})" if notes else ""
        return (
            f"{self.script:40} exit {self.exit_code} {self.took_s:6.1f} s{note}"
        )


def find_scripts(root: pathlib.Path) -> list[str]:
    """Return the scripts of all cases, the numbered ones first and in order.

    Args:
        root: Root of the repository.
    """
    scripts = [
        str(path.relative_to(root))
        for path in (root / "review").rglob("run.sh")
    ]
    return sorted(scripts, key=_order)


def _order(script: str) -> tuple[bool, int, str]:
    name = script.split("/")[1]
    return (not name.isdigit(), int(name) if name.isdigit() else 0, script)


def read_known(text: str) -> set[str]:
    """Return the scripts that a list of known faults names.

    Args:
        text: Content of ``KNOWN-RED.txt``.
    """
    return set(_SCRIPT.findall(text))


def play(
    root: pathlib.Path,
    script: str,
    is_known: bool,
    time_limit_s: float = _TIME_LIMIT_S,
) -> Play:
    """Play a case and return how it ended.

    Args:
        root: Root of the repository.
        script: Path of its script, from the root.
        is_known: Whether ``KNOWN-RED.txt`` names it.
        time_limit_s: Time after which the case and all that it has started are
            ended.
    """
    started_s = time.monotonic()
    process = subprocess.Popen(
        [root / script],
        cwd=root,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        start_new_session=True,
    )
    ended = False
    try:
        exit_code = process.wait(time_limit_s)
    except subprocess.TimeoutExpired:
        ended, exit_code = True, _NOT_RUN
    finally:
        # A case that could not run may have left processes behind.
        _end_session(process)
    if exit_code not in (_HELD, _BROKEN):
        exit_code = _NOT_RUN
    took_s = time.monotonic() - started_s
    return Play(script, exit_code, took_s, ended, is_known)


def _end_session(process: subprocess.Popen[bytes]) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
    process.wait()


def _build(root: pathlib.Path) -> None:
    """Place the libraries where the cases look for them."""
    deploy = tomllib.loads((root / "deploy/system.toml").read_text("utf-8"))
    subprocess.run(deploy["build"], shell=True, cwd=root, check=True)


def main() -> int:
    """Play the cases that are named, or all; returns 1 if one has failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scripts", nargs="*", help="review/11/run.sh ...")
    parser.add_argument("--times", type=int, default=1)
    options = parser.parse_args()
    _build(_ROOT)
    known = read_known((_ROOT / "KNOWN-RED.txt").read_text("utf-8"))
    has_failed = False
    for script in options.scripts or find_scripts(_ROOT):
        for _ in range(options.times):
            result = play(_ROOT, script, script in known)
            print(result.line(), flush=True)
            has_failed |= result.has_failed()
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
