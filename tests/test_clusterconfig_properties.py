"""Property tests of the cluster configuration: any input gives a typed result, never an exception."""

from __future__ import annotations

import copy
import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from rookwood.clusterconfig.document import Configuration, Route
from rookwood.clusterconfig.history import (
    Accepted,
    AlreadyAccepted,
    Change,
    ChangeMethod,
    Conflict,
    ControlDocument,
    InvalidChange,
    decide,
)
from rookwood.clusterconfig.loading import load_configuration
from rookwood.clusterconfig.routing import RouteIndex
from rookwood.clusterconfig.validation import (
    Invalid,
    apply_patch,
    check_change,
    check_document,
    parse_document,
)

JsonObject = dict[str, Any]

MAX_EXAMPLES = 150

KNOWN_KEYS = [
    "ver",
    "routes",
    "svcs",
    "limits",
    "upsert",
    "remove",
    "name",
    "host",
    "pfx",
    "kind",
    "timeout-ms",
    "target-ms",
    "prio",
    "svc",
    "wt",
    "split",
    "tries",
    "sticky",
    "resume",
    "gap_aim_ms",
    "health",
    "max-conns",
    "runtime",
    "models",
    "size-mb",
    "loras",
    "lora-slots",
    "hdr-bytes",
    "idle-ms",
]

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=5),
    st.sampled_from(["a", "/x/", "safe", "stream"]),
)
keys = st.one_of(st.sampled_from(KNOWN_KEYS), st.text(max_size=3))
values = st.recursive(
    scalars,
    lambda inner: st.one_of(st.lists(inner, max_size=3), st.dictionaries(keys, inner, max_size=5)),
    max_leaves=25,
)
objects = st.dictionaries(keys, values, max_size=5)
methods = st.sampled_from(ChangeMethod)
segments = st.sampled_from(["a", "b", "ab", ""])
prefixes = st.lists(segments, max_size=3).map(lambda parts: "".join(f"/{part}" for part in parts) + "/")
hosts = st.sampled_from(["one", "two", "three"])


def valid_document(version: int = 1, host_prefixes: list[tuple[str, str]] | None = None) -> JsonObject:
    """Return a small valid configuration with one route for each pair of host and prefix."""
    return {
        "ver": version,
        "routes": [
            {"name": f"r{i}", "host": host, "pfx": prefix, "kind": "safe", "timeout-ms": 10, "svc": "s"}
            for i, (host, prefix) in enumerate(host_prefixes or [("one", "/a/")])
        ],
        "svcs": [{"name": "s", "health": "/h", "max-conns": 4, "runtime": {"models": [{"name": "m"}]}}],
        "limits": {"idle-ms": 10},
    }


def find_paths(value: object, path: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    """Return the path of every value inside a JSON value, itself included."""
    paths = [path]
    if isinstance(value, dict):
        for key, inner in value.items():
            paths += find_paths(inner, (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            paths += find_paths(inner, (*path, index))
    return paths


def longest_match(routes: tuple[Route, ...], host: str, path: str) -> Route | None:
    """Find the route by comparing all routes, as a reference for the index."""
    matching = [route for route in routes if route.host == host and path.startswith(route.prefix)]
    matching.sort(key=lambda route: len(route.prefix))
    return matching[-1] if matching else None


class TypedResultTest(unittest.TestCase):
    """Every input gives a typed result instead of an exception."""

    def check_typed(self, document: JsonObject) -> None:
        """Require a typed result, and that a valid one is equal after loading its source."""
        result = check_document(document)
        self.assertIsInstance(result, Configuration | Invalid)
        if isinstance(result, Configuration):
            self.assertEqual(load_configuration(result.source), result)
            self.assertEqual(json.loads(result.source), document)

    @settings(max_examples=MAX_EXAMPLES, deadline=None)
    @given(st.binary(max_size=60), methods, st.integers(-2, 3))
    def test_any_bytes(self, body: bytes, method: ChangeMethod, base: int) -> None:
        self.assertIsInstance(parse_document(body), dict | Invalid)
        decision = decide(ControlDocument(), Change(method, base, body))
        self.assertIsInstance(decision, Conflict | InvalidChange)

    @settings(max_examples=MAX_EXAMPLES, deadline=None)
    @given(objects, objects)
    def test_any_object(self, document: JsonObject, patch: JsonObject) -> None:
        self.check_typed(document)
        patched = apply_patch(valid_document(), patch)
        self.assertIsInstance(patched, dict | Invalid)
        if isinstance(patched, dict):
            self.check_typed(patched)

    @settings(max_examples=MAX_EXAMPLES, deadline=None)
    @given(st.data(), values)
    def test_valid_document_with_one_value_replaced(self, data: st.DataObject, value: object) -> None:
        document = valid_document(host_prefixes=[("one", "/a/"), ("two", "/b/")])
        path = data.draw(st.sampled_from(find_paths(document)[1:]))
        target: Any = document
        for step in path[:-1]:
            target = target[step]
        target[path[-1]] = copy.deepcopy(value)
        self.check_typed(document)
        accepted = valid_document(host_prefixes=[("one", "/a/"), ("two", "/b/")])
        self.assertEqual(check_change(document, accepted), check_change(document, {}))

    @settings(max_examples=MAX_EXAMPLES, deadline=None)
    @given(objects, methods)
    def test_any_object_as_a_change(self, body: JsonObject, method: ChangeMethod) -> None:
        document = ControlDocument(1, json.dumps(valid_document()).encode())
        decision = decide(document, Change(method, 1, json.dumps(body).encode()))
        self.assertIsInstance(decision, Accepted | InvalidChange)


class ResendTest(unittest.TestCase):
    """Accepted changes are still recognised after later ones."""

    @settings(max_examples=MAX_EXAMPLES, deadline=None)
    @given(st.lists(st.tuples(methods, st.integers(0, 12), st.integers(0, 12)), max_size=12))
    def test_every_accepted_change_is_recognised_when_resent(
        self, sent_changes: list[tuple[ChangeMethod, int, int]]
    ) -> None:
        document = ControlDocument()
        accepted: list[tuple[Change, int]] = []
        for method, base, version in sent_changes:
            body = valid_document(version) if method is ChangeMethod.PUT else {"ver": version}
            change = Change(method, base, json.dumps(body).encode())
            before = document.version
            decision = decide(document, change)
            if isinstance(decision, Accepted):
                self.assertEqual(base, before)
                self.assertGreater(decision.version, before)
                document = decision.document
                accepted.append((change, decision.version))
            for earlier, number in accepted:
                self.assertEqual(decide(document, earlier), AlreadyAccepted(number))
        self.assertEqual(ControlDocument.decode(document.encode()), document)


class LongestPrefixTest(unittest.TestCase):
    """The index gives the same results as comparing all routes."""

    @settings(max_examples=MAX_EXAMPLES, deadline=None)
    @given(
        st.lists(st.tuples(hosts, prefixes), min_size=1, max_size=12, unique=True),
        hosts,
        st.text(alphabet="/ab", max_size=12),
    )
    def test_same_route_as_brute_force(
        self, host_prefixes: list[tuple[str, str]], host: str, path: str
    ) -> None:
        configuration = check_document(valid_document(host_prefixes=host_prefixes))
        assert isinstance(configuration, Configuration)
        expected = longest_match(configuration.routes, host, path)
        index = RouteIndex(configuration)
        self.assertEqual(index.match(host, path), expected)
        self.assertEqual(index.match(f"{host.upper()}:80", f"{path}?/a/b/"), expected)
