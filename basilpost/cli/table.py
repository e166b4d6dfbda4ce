"""Formats tables for a terminal."""

import itertools
from collections.abc import Iterable


def layout(header: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    """Returns a table as text, each column as wide as its widest cell."""
    lines = [header, *rows]
    columns = itertools.zip_longest(*lines, fillvalue="")
    widths = [max(len(cell) for cell in column) for column in columns]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
