"""Cerberus schemas of a configuration document and of a patch to one."""

from __future__ import annotations

from typing import Any

from rookwood.clusterconfig.document import RouteKind

LARGEST_VERSION = 2**63 - 1
LARGEST_NUMBER = 1e15

_Rules = dict[str, Any]

_NAME: _Rules = {"type": "string", "required": True, "empty": False}
_SERVICE_NAME: _Rules = {"type": "string", "empty": False}
_COUNT: _Rules = {"type": "integer", "min": 0, "max": LARGEST_NUMBER}
_POSITIVE_COUNT: _Rules = {"type": "integer", "min": 1, "max": LARGEST_NUMBER}
_AMOUNT: _Rules = {"type": "number", "min": 0, "max": LARGEST_NUMBER}
_POSITIVE_AMOUNT: _Rules = {"type": "number", "max": LARGEST_NUMBER, "check_with": "positive"}
_FLAG: _Rules = {"type": "boolean"}

_VERSION: _Rules = {"type": "integer", "required": True, "min": 1, "max": LARGEST_VERSION}

_SHARE: _Rules = {
    "type": "dict",
    "schema": {"svc": {**_SERVICE_NAME, "required": True}, "wt": {**_AMOUNT, "required": True}},
}

ROUTE_SCHEMA: _Rules = {
    "name": _NAME,
    "host": _NAME,
    "pfx": {"type": "string", "required": True, "check_with": "path_prefix"},
    "kind": {"type": "string", "required": True, "allowed": [kind.value for kind in RouteKind]},
    "timeout-ms": {**_POSITIVE_AMOUNT, "required": True},
    "target-ms": _AMOUNT,
    "prio": _COUNT,
    "svc": _SERVICE_NAME,
    "split": {"type": "list", "schema": _SHARE},
    "tries": _POSITIVE_COUNT,
    "sticky": _FLAG,
    "resume": _FLAG,
    "gap_aim_ms": _AMOUNT,
}

_MODEL: _Rules = {
    "type": "dict",
    "schema": {
        "name": _NAME,
        "size-mb": _AMOUNT,
        "load-s": _AMOUNT,
        "loras": _COUNT,
        "lora-mb": _AMOUNT,
    },
}

_RUNTIME: _Rules = {
    "type": "dict",
    "nullable": True,
    "schema": {
        "slots": _COUNT,
        "kv-cap": _COUNT,
        "kv-tok-bytes": _AMOUNT,
        "stride": _COUNT,
        "models": {"type": "list", "schema": _MODEL},
        "size-mb": _AMOUNT,
        "lora-slots": _COUNT,
        "loads-per-s": _AMOUNT,
    },
}

SERVICE_SCHEMA: _Rules = {
    "name": _NAME,
    "health": {"type": "string", "required": True, "empty": False},
    "max-conns": {**_POSITIVE_COUNT, "required": True},
    "proto": {"type": "string"},
    "tls": _FLAG,
    "runtime": _RUNTIME,
}

_LIMITS: _Rules = {
    "type": "dict",
    "nullable": True,
    "schema": {
        "hdr-bytes": _POSITIVE_COUNT,
        "body-bytes": _COUNT,
        "hdr-ms": _POSITIVE_AMOUNT,
        "idle-ms": _POSITIVE_AMOUNT,
    },
}

# The items of `routes` and `svcs` are checked one at a time against ROUTE_SCHEMA and SERVICE_SCHEMA.
DOCUMENT_SCHEMA: _Rules = {
    "ver": _VERSION,
    "routes": {"type": "list", "required": True},
    "svcs": {"type": "list", "required": True},
    "limits": _LIMITS,
}

_NAMED_ITEM: _Rules = {"type": "dict", "schema": {"name": _NAME}}

PATCH_SCHEMA: _Rules = {
    "ver": _VERSION,
    "upsert": {
        "type": "dict",
        "schema": {
            "routes": {"type": "list", "schema": _NAMED_ITEM},
            "svcs": {"type": "list", "schema": _NAMED_ITEM},
            "limits": {"type": "dict"},
        },
    },
    "remove": {
        "type": "dict",
        "schema": {
            "routes": {"type": "list", "schema": {"type": "string"}},
            "svcs": {"type": "list", "schema": {"type": "string"}},
        },
    },
}
