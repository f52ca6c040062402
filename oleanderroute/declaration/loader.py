"""Reads and checks the text of a declaration."""

import json
from importlib.resources import files

from jsonschema import Draft202012Validator
from result import Err, Ok

from ..errors import DeclarationError
from .checks import (
    CheckedDocument,
    check_group_duplicates,
    check_group_overlaps,
    check_routes,
    check_services,
    check_targets,
)
from .chunks import Change, split_declaration
from .cycles import check_cycles
from .document import declaration_from_document, dump
from .problems import problem_at, shape_reason

__all__ = ["dump", "load_declaration"]

CONTENT_CHECKS = (
    check_services,
    check_targets,
    check_routes,
    check_group_duplicates,
    check_group_overlaps,
    check_cycles,
)
SCHEMA = json.loads(files(__package__).joinpath("schema.json").read_text())
# Limit of one value of the platform's key-value service.
MAX_VALUE_BYTES = 1_000_000
# Room for the author, the message and the nonce of a revision.
CHANGE_ALLOWANCE_BYTES = 16 * 1024
VALIDATOR = Draft202012Validator(SCHEMA)


class JsonObject(dict):
    """A JSON object that remembers the keys that its text repeats."""

    def __init__(self, pairs):
        super().__init__(pairs)
        self.repeated_keys = []
        if len(self) == len(pairs):
            return
        seen = set()
        for key, _ in pairs:
            if key in seen:
                self.repeated_keys.append(key)
            seen.add(key)


def load_declaration(text, max_value_bytes=MAX_VALUE_BYTES):
    """Check the text of a declaration and build the model.

    Parameters
    ----------
    text : str
        JSON, as ``schema.json`` describes it.
    max_value_bytes : int
        Largest manifest that the store takes.

    Returns
    -------
    result : Ok of Declaration, or Err of DeclarationError
        The error lists all problems that were found, not only the first.
    """
    try:
        document = json.loads(text, object_pairs_hook=JsonObject)
    except ValueError as error:
        return Err(DeclarationError((problem_at((), f"not JSON: {error}"),)))
    except RecursionError:
        return Err(DeclarationError((problem_at((), "nested too deeply"),)))
    problems = check_document(document)
    if problems:
        return Err(DeclarationError(tuple(problems)))
    declaration = declaration_from_document(document)
    problems = check_manifest_size(declaration, max_value_bytes)
    if problems:
        return Err(DeclarationError(tuple(problems)))
    return Ok(declaration)


def check_manifest_size(declaration, max_value_bytes):
    """Compare the size of the manifest with the store's limit."""
    manifest, _ = split_declaration(declaration, Change())
    size = len(manifest.encode()) + CHANGE_ALLOWANCE_BYTES
    if size <= max_value_bytes:
        return []
    reason = f"the manifest has {size} bytes, the store takes {max_value_bytes}"
    return [problem_at((), reason)]


def check_document(document):
    """Return all problems of a parsed document, of shape and of content."""
    problems = find_repeated_keys(document, ())
    bad_paths = set()
    for error in VALIDATOR.iter_errors(document):
        bad_paths.add(tuple(error.absolute_path))
        problems.append(problem_at(error.absolute_path, shape_reason(error)))
    if not isinstance(document, dict):
        return problems
    checked = CheckedDocument(document, bad_paths)
    for check in CONTENT_CHECKS:
        problems += check(checked)
    return problems


def find_repeated_keys(value, at):
    """Find keys that occur twice in one object; JSON readers keep only the last."""
    problems = []
    if isinstance(value, JsonObject):
        for key in value.repeated_keys:
            problems.append(problem_at((*at, key), "this key occurs more than once"))
        for key, child in value.items():
            problems += find_repeated_keys(child, (*at, key))
    elif isinstance(value, list):
        for index, child in enumerate(value):
            if isinstance(child, (dict, list)):
                problems += find_repeated_keys(child, (*at, index))
    return problems
