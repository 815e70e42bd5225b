"""Validation of configuration documents and of patches to them.

Importing this module loads cerberus; only the control plane and the command line need it.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import cerberus

from rookwood.clusterconfig.document import Configuration
from rookwood.clusterconfig.faults import Fault, Invalid
from rookwood.clusterconfig.json_text import JsonObject, JsonTextError, read_object, write_compact
from rookwood.clusterconfig.loading import build_configuration, build_limits, build_route, build_service
from rookwood.clusterconfig.references import find_duplicate_names, find_reference_faults
from rookwood.clusterconfig.schema import DOCUMENT_SCHEMA, PATCH_SCHEMA, ROUTE_SCHEMA, SERVICE_SCHEMA

__all__ = [
    "CheckedDocument",
    "Fault",
    "Invalid",
    "apply_patch",
    "check_change",
    "check_document",
    "parse_document",
]

WHOLE_DOCUMENT = ""
ITEM_BUILDERS = {"routes": build_route, "svcs": build_service}
ITEM_SCHEMAS = {"routes": ROUTE_SCHEMA, "svcs": SERVICE_SCHEMA}


def parse_document(body: bytes) -> JsonObject | Invalid:
    """Parse a request body that must be a single JSON object."""
    try:
        return read_object(body)
    except JsonTextError as error:
        return _invalid_document(error)


@dataclass(frozen=True)
class CheckedDocument:
    """The version of a valid configuration and its compact JSON text, unknown keys included."""

    version: int
    source: bytes


def check_document(document: JsonObject) -> Configuration | Invalid:
    """Validate and build a full configuration; its `source` keeps unknown keys."""
    checked = check_change(document, {})
    if isinstance(checked, Invalid):
        return checked
    return build_configuration(document, checked.source)


def check_change(document: JsonObject, accepted: JsonObject) -> CheckedDocument | Invalid:
    """Validate a configuration that results from a change to the document `accepted`.

    `accepted` has passed validation before. Items unchanged since then are neither checked against their
    schema again nor built, which makes a small change to a large configuration cheap. All others are built,
    so that dispatchers can read every configuration that passes.
    """
    try:
        source = write_compact(document)
    except JsonTextError as error:
        return _invalid_document(error)
    faults = [
        *_find_schema_faults(document, DOCUMENT_SCHEMA),
        *_find_item_faults(document, accepted),
        *find_reference_faults(document),
    ]
    if faults:
        return Invalid(tuple(faults))
    _build_changed_items(document, accepted)
    return CheckedDocument(document["ver"], source)


def apply_patch(current: JsonObject, patch: JsonObject) -> JsonObject | Invalid:
    """Return `current` with a patch applied, or the faults of the patch itself.

    An upserted item replaces the item of the same name in place, or is appended. Removals are applied first,
    and removing an absent name has no effect. `limits` are merged key by key. The result still has to
    pass `check_document`. Neither argument is modified.
    """
    faults = list(_find_patch_faults(patch))
    if faults:
        return Invalid(tuple(faults))
    upsert = patch.get("upsert", {})
    remove = patch.get("remove", {})
    result = {**current, "ver": patch["ver"]}
    for section in ITEM_SCHEMAS:
        if section in upsert or section in remove:
            items = _remove_items(result.get(section, []), remove.get(section, []))
            result[section] = _upsert_items(items, upsert.get(section, []))
    if "limits" in upsert:
        result["limits"] = {**(result.get("limits") or {}), **upsert["limits"]}
    return result


def _remove_items(items: list[JsonObject], names: list[str]) -> list[JsonObject]:
    removed = set(names)
    return [item for item in items if item["name"] not in removed]


def _upsert_items(items: list[JsonObject], replacements: list[JsonObject]) -> list[JsonObject]:
    by_name = {item["name"]: item for item in items}
    for replacement in replacements:
        by_name[replacement["name"]] = replacement
    return list(by_name.values())


def _find_patch_faults(patch: JsonObject) -> Iterator[Fault]:
    yield from _find_schema_faults(patch, PATCH_SCHEMA)
    upsert = patch.get("upsert")
    if isinstance(upsert, dict):
        for section in ITEM_SCHEMAS:
            yield from find_duplicate_names(f"upsert.{section}", upsert.get(section))


def _find_schema_faults(document: JsonObject, schema: dict[str, Any]) -> list[Fault]:
    return list(_run_validator(_SchemaValidator(schema, allow_unknown=True), document, prefix=""))


def _find_item_faults(document: JsonObject, accepted: JsonObject) -> Iterator[Fault]:
    for section, schema in ITEM_SCHEMAS.items():
        items = document.get(section)
        if not isinstance(items, list):
            continue
        validator = _SchemaValidator(schema, allow_unknown=True)
        accepted_items = {item["name"]: item for item in accepted.get(section, [])}
        for index, item in enumerate(items):
            path = f"{section}.{index}"
            if not isinstance(item, dict):
                yield Fault(path, "must be of dict type")
            elif not _is_unchanged(item, accepted_items):
                yield from _run_validator(validator, item, prefix=f"{path}.")


def _build_changed_items(document: JsonObject, accepted: JsonObject) -> None:
    for section, build in ITEM_BUILDERS.items():
        accepted_items = {item["name"]: item for item in accepted.get(section, [])}
        for item in document[section]:
            if not _is_unchanged(item, accepted_items):
                build(item)
    build_limits(document.get("limits") or {})


def _is_unchanged(item: JsonObject, accepted_items: Mapping[str, JsonObject]) -> bool:
    """Whether an item equals the accepted item of its name. A patch keeps the objects of most items.

    Other objects are compared as text, since Python compares 1, 1.0 and True as equal.
    """
    name = item.get("name")
    accepted = accepted_items.get(name) if isinstance(name, str) else None
    if accepted is None:
        return False
    return accepted is item or json.dumps(item) == json.dumps(accepted)


def _run_validator(validator: _SchemaValidator, value: JsonObject, prefix: str) -> Iterator[Fault]:
    if not validator.validate(value, normalize=False):
        yield from _flatten_errors(prefix, validator.errors)


def _flatten_errors(prefix: str, errors: dict[object, list[Any]]) -> Iterator[Fault]:
    """Convert the nested error lists of cerberus to faults with dotted keys."""
    for key, entries in errors.items():
        path = f"{prefix}{key}"
        for entry in entries:
            if isinstance(entry, dict):
                yield from _flatten_errors(f"{path}.", entry)
            else:
                yield Fault(path, str(entry))


def _invalid_document(error: JsonTextError) -> Invalid:
    return Invalid((Fault(WHOLE_DOCUMENT, str(error)),))


class _SchemaValidator(cerberus.Validator):  # type: ignore[misc]
    """A validator with additional value checks, for which booleans are not numbers."""

    types_mapping = {
        **cerberus.Validator.types_mapping,
        "integer": cerberus.TypeDefinition("integer", (int,), (bool,)),
        "number": cerberus.TypeDefinition("number", (int, float), (bool,)),
    }

    def _check_with_positive(self, field: str, value: object) -> None:
        if isinstance(value, int | float) and not value > 0:
            self._error(field, "must be above 0")

    def _check_with_path_prefix(self, field: str, value: object) -> None:
        if isinstance(value, str) and not (value.startswith("/") and value.endswith("/")):
            self._error(field, "must begin and end with a slash")
