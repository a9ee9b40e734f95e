"""Lays measurements out as text tables."""

from collections.abc import Sequence

from wagtailtiller.ctl import output


def table(
    title: str, headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Return a titled table."""
    return f"{title}\n{output.table(headings, rows)}\n"
