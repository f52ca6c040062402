"""Problems of a document, each with the JSON path at which it lies."""

import re
from dataclasses import dataclass

PLAIN_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")
# jsonschema quotes the offending value, which can be a whole section.
MAX_REASON_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class DeclarationProblem:
    """One reason to refuse a declaration.

    Attributes
    ----------
    path : str
        JSON path, for example ``$.services.pedidos.floor_slots``.
    reason : str
    """

    path: str
    reason: str

    def __str__(self):
        return f"{self.path}: {self.reason}"


def json_path(parts):
    """Return the JSON path of a sequence of keys and indexes."""
    path = "$"
    for part in parts:
        if isinstance(part, int):
            path += f"[{part}]"
            continue
        if PLAIN_KEY.fullmatch(part):
            path += f".{part}"
            continue
        path += f'["{part}"]'
    return path


def problem_at(parts, reason):
    """Return the problem at the path of keys and indexes ``parts``."""
    return DeclarationProblem(json_path(parts), reason)


def shape_reason(error):
    """Return the reason of a ``jsonschema.ValidationError`` in bounded length."""
    if error.validator == "pattern":
        return f"{error.instance!r} does not match {error.validator_value}"
    reason = error.message
    if len(reason) <= MAX_REASON_CHARACTERS:
        return reason
    return f"{reason[:MAX_REASON_CHARACTERS]}..."
