"""Formats measurements as text tables."""

from collections.abc import Sequence

from wagtailtiller.ctl import output


def table(
    title: str, headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Return a text table with a title."""
    return f"{title}\n{output.table(headings, rows)}\n"
