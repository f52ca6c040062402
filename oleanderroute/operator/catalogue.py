"""Writes the catalogue of log events: ``python -m oleanderroute.operator.catalogue``.

``docs/events.md`` holds its output; a test compares the two.
"""

import sys

from ..events import CATALOGUE

PREAMBLE = """# Log events

Each log record is one JSON line. `event` is the number of this catalogue,
`message_type` the name and `level` the importance; `timestamp` is Unix time in
seconds. The setting `log.level` gives the lowest level that is written (default
`info`). The burn report's incidents are kept at every setting.

This page is generated: `python -m oleanderroute.operator.catalogue > docs/events.md`.

| Number | Name | Level | Meaning | Fields | What to do |
|---|---|---|---|---|---|
"""


def catalogue_page():
    """Return the catalogue as a Markdown page."""
    rows = []
    for number in sorted(CATALOGUE):
        event = CATALOGUE[number]
        fields = ", ".join(f"`{name}`" for name in event.fields)
        cells = (
            str(number),
            f"`{event.name}`",
            event.level.name.lower(),
            event.meaning,
            fields,
            event.action,
        )
        rows.append("| " + " | ".join(cells) + " |\n")
    return PREAMBLE + "".join(rows)


if __name__ == "__main__":
    sys.stdout.write(catalogue_page())
