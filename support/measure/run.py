"""Runs the measurements for ``make measure`` and prints their tables."""

import argparse
import sys

from support.measure import days
from support.measure import fairness
from support.measure import freshness
from support.measure import hop
from support.measure import idle
from support.measure import logging_cost
from support.measure import moves
from support.measure import placement
from support.measure import planning
from support.measure import repeats
from support.measure import rollout
from support.measure import slopes

_SECTIONS = {
    "placement": placement.measure,
    "fairness": fairness.measure,
    "rollout": rollout.measure,
    "moves": moves.measure,
    "freshness": freshness.measure,
    "slopes": slopes.measure,
    "hop": hop.measure,
    "idle": idle.measure,
    "days": days.measure,
    "planning": planning.measure,
    "repeats": repeats.measure,
    "logging": logging_cost.measure,
}


def main() -> int:
    """Run the sections given on the command line; all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--section", choices=sorted(_SECTIONS), action="append")
    options = parser.parse_args()
    for name in options.section or _SECTIONS:
        print(_SECTIONS[name](options.seed))
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
