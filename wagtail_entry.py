"""Runs the entry program from a checkout without installation."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent / "src"))

from wagtailtiller.platform import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main.main())
