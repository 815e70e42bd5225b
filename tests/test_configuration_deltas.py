"""Configuration deltas: applying one gives the configuration of its sender, whatever the base."""

from __future__ import annotations

import json
import random
import unittest
import unittest.mock
from typing import Any

from rookwood.cluster.frames import HEADER, decode_message, encode_frame, read_header
from rookwood.cluster.messages import ConfigurationDelta
from rookwood.cluster.position import NO_CONFIGURATION, ConfigurationPosition
from rookwood.clusterconfig.configuration_store import (
    BUILD_ERRORS,
    Applied,
    ConfigurationStore,
    DigestMismatch,
    Malformed,
)
from rookwood.clusterconfig.items import (
    Item,
    ItemChanges,
    ItemKey,
    Section,
    digest_after,
    digest_item,
)
from rookwood.clusterconfig.loading import load_configuration
from rookwood.clusterconfig.routing import RouteIndex
from rookwood.controlplane import configuration_history
from rookwood.controlplane.configuration_history import ConfigurationHistory

HOSTS = ("a.example", "b.example")
SERVICES = ("pages", "models")
RUNTIME = {"slots": 8, "models": [{"name": "small", "size-mb": 60.0}], "size-mb": 160.0}
SEEDS = 40
VERSIONS = 40


def route(number: int, timeout_ms: float = 1000.0, prefix: str | None = None) -> dict[str, Any]:
    """Return a route with this number."""
    return {
        "name": f"r{number}",
        "host": HOSTS[number % len(HOSTS)],
        "pfx": prefix or f"/p{number}/",
        "kind": "safe",
        "timeout-ms": timeout_ms,
        "svc": "pages",
    }


def service(name: str) -> dict[str, Any]:
    """Return a service with this name."""
    return {"name": name, "health": "/healthz", "max-conns": 64}


def configuration(version: int, *routes: dict[str, Any], **settings: Any) -> dict[str, Any]:
    """Return a configuration with these routes."""
    return {"ver": version, "routes": list(routes), "svcs": [service(n) for n in SERVICES], **settings}


def encode(document: dict[str, Any]) -> bytes:
    """Return the JSON text of a configuration."""
    return json.dumps(document).encode()


def change_at_random(document: dict[str, Any], version: int, generator: random.Random) -> dict[str, Any]:
    """Return the next version, with one random change to routes, services or limits."""
    routes = {item["name"]: item for item in document["routes"]}
    number = generator.randrange(12)
    choice = generator.randrange(6)
    result = {**document, "ver": version}
    if choice == 0:
        routes.pop(f"r{number}", None)
    elif choice == 1 and len(routes) > 1:
        first, second = generator.sample(sorted(routes), 2)
        first_place = {key: routes[first][key] for key in ("host", "pfx")}
        second_place = {key: routes[second][key] for key in ("host", "pfx")}
        routes[first], routes[second] = {**routes[first], **second_place}, {**routes[second], **first_place}
    elif choice == 2:
        result["limits"] = generator.choice([None, {}, {"body-bytes": generator.randrange(1, 99)}])
    elif choice == 3:
        result["svcs"] = [*document["svcs"][:1], {**service("models"), "runtime": RUNTIME}]
    elif choice == 4:
        result.pop("limits", None)
    elif f"r{number}" not in routes:
        used_places = {(r["host"], r["pfx"]) for r in routes.values()}
        added = route(number, generator.uniform(1, 9))
        if (added["host"], added["pfx"]) not in used_places:
            routes[added["name"]] = added
    result["routes"] = list(routes.values())
    return result


class DeltaTests(unittest.TestCase):
    def test_the_delta_since_any_base_gives_the_newest_configuration(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.follow_history(random.Random(seed))

    def follow_history(self, generator: random.Random) -> None:
        """Update stores with different bases from one history, about half of them at each version."""
        history = ConfigurationHistory()
        document = configuration(1, route(0), route(1))
        stores: dict[ConfigurationPosition, ConfigurationStore] = {}
        position = ConfigurationPosition(1, 1)
        for version in range(2, VERSIONS):
            history.commit(position, encode(document))
            for base in generator.sample(sorted(stores), len(stores) // 2):
                store = stores.pop(base)
                delta = history.changes_since(base)
                assert delta is not None
                self.assertEqual(Applied(), store.apply(delta.changes, delta.digest))
                self.assert_same(store, document)
                stores.setdefault(position, store)
            new_store = ConfigurationStore()
            new_store.replace(encode(document))
            stores.setdefault(position, new_store)
            document = change_at_random(document, version, generator)
            position = self.next_position(position, generator)

    @staticmethod
    def next_position(position: ConfigurationPosition, generator: random.Random) -> ConfigurationPosition:
        """Return a later position, sometimes of a later epoch."""
        if generator.random() < 0.2:
            return ConfigurationPosition(position.epoch + generator.randint(1, 3), generator.randint(1, 9))
        return ConfigurationPosition(position.epoch, position.sequence + generator.randint(1, 3))

    def assert_same(self, store: ConfigurationStore, document: dict[str, Any]) -> None:
        """Check that the store holds the configuration of the full document."""
        expected = load_configuration(encode(document))
        actual = store.configuration
        self.assertEqual(set(expected.routes), set(actual.routes))
        self.assertEqual(dict(expected.services), dict(actual.services))
        self.assertEqual((expected.version, expected.limits), (actual.version, actual.limits))
        index = RouteIndex(expected)
        for host in HOSTS:
            for number in range(12):
                path = f"/p{number}/x"
                self.assertEqual(index.match(host, path), store.route_index.match(host, path))

    def test_there_is_no_delta_since_an_unknown_base(self) -> None:
        history = ConfigurationHistory()
        history.commit(ConfigurationPosition(2, 5), encode(configuration(1)))
        for base in (NO_CONFIGURATION, ConfigurationPosition(2, 4), ConfigurationPosition(3, 1)):
            self.assertIsNone(history.changes_since(base))
        self.assertIsNotNone(history.changes_since(ConfigurationPosition(2, 5)))

    def test_the_delta_to_the_same_configuration_at_another_position_is_empty(self) -> None:
        history = ConfigurationHistory()
        source = encode(configuration(1, route(1)))
        history.commit(ConfigurationPosition(2, 5), source)
        history.commit(ConfigurationPosition(3, 1), source)
        delta = history.changes_since(ConfigurationPosition(2, 5))
        assert delta is not None
        self.assertEqual((ItemChanges((), ()), ConfigurationPosition(3, 1)), (delta.changes, delta.position))

    def test_there_is_no_delta_since_a_base_older_than_the_remembered_removals(self) -> None:
        history = ConfigurationHistory()
        base = ConfigurationPosition(1, 1)
        routes = [route(number) for number in range(6)]
        history.commit(base, encode(configuration(1, *routes)))
        with unittest.mock.patch.object(configuration_history, "MOST_REMOVED", 2):
            for version in range(2, 6):
                history.commit(
                    ConfigurationPosition(1, version), encode(configuration(version, *routes[version - 1 :]))
                )
        self.assertIsNone(history.changes_since(base))
        self.assertIsNotNone(history.changes_since(ConfigurationPosition(1, 4)))

    def test_there_is_no_delta_since_a_position_that_this_machine_skipped(self) -> None:
        history = ConfigurationHistory()
        history.commit(ConfigurationPosition(1, 5), encode(configuration(1, route(1))))
        history.commit(ConfigurationPosition(1, 7), encode(configuration(3, route(1))))
        self.assertIsNone(history.changes_since(ConfigurationPosition(1, 6)), "r2 may have come and gone")
        self.assertIsNotNone(history.changes_since(ConfigurationPosition(1, 5)))

    def test_an_invalid_configuration_changes_nothing(self) -> None:
        history = ConfigurationHistory()
        position = ConfigurationPosition(1, 5)
        history.commit(position, encode(configuration(1, route(1))))
        with self.assertRaises(BUILD_ERRORS):
            history.commit(ConfigurationPosition(1, 6), b'{"ver":2,"routes":[{"name":"r"}],"svcs":[]}')
        self.assertEqual(position, history.position)
        delta = history.changes_since(position)
        assert delta is not None
        self.assertEqual(position, delta.position)

    def test_names_with_unpaired_surrogates_are_encoded(self) -> None:
        history = ConfigurationHistory()
        route_with_surrogate = {**route(2), "name": "b\ud800"}
        first, second = ConfigurationPosition(1, 1), ConfigurationPosition(1, 2)
        history.commit(first, encode(configuration(1, route(1))))
        history.commit(second, encode(configuration(2, route(1), route_with_surrogate, **{"x\udfff": 1})))
        delta = history.changes_since(first)
        assert delta is not None
        frame = encode_frame(delta)
        _, number = read_header(frame[: HEADER.size])
        self.assertEqual(delta, decode_message(number, frame[HEADER.size :]))
        store = ConfigurationStore()
        store.replace(encode(configuration(1, route(1))))
        self.assertEqual(Applied(), store.apply(delta.changes, delta.digest))
        self.assertIsNotNone(store.route_index.match("a.example", "/p2/"))

    def test_the_delta_of_one_change_holds_one_item_and_the_version(self) -> None:
        history = ConfigurationHistory()
        routes = [route(number) for number in range(300)]
        history.commit(ConfigurationPosition(1, 1), encode(configuration(1, *routes)))
        history.commit(
            ConfigurationPosition(1, 2), encode(configuration(2, *routes[:-1], route(299, timeout_ms=7.0)))
        )
        delta = history.changes_since(ConfigurationPosition(1, 1))
        assert isinstance(delta, ConfigurationDelta)
        keys = {item.key for item in delta.changes.changed}
        self.assertEqual({ItemKey(Section.ROUTE, "r299"), ItemKey(Section.SETTING, "ver")}, keys)


class StoreTests(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ConfigurationStore()
        self.store.replace(encode(configuration(1, route(1), route(2))))

    def test_changes_with_a_digest_mismatch_change_nothing(self) -> None:
        before = self.store.configuration
        key = ItemKey(Section.ROUTE, "r1")
        self.assertEqual(DigestMismatch(), self.store.apply(ItemChanges((), (key,)), self.store.digest))
        self.assertIs(before, self.store.configuration)
        self.assertIsNotNone(self.store.route_index.match("b.example", "/p1/"))

    def test_an_invalid_item_changes_nothing(self) -> None:
        for text in (b"{", b'{"name":"r3"}', b"[]", b'"r"', b"\xff"):
            with self.subTest(text=text):
                before = self.store.configuration
                changes = ItemChanges((Item(ItemKey(Section.ROUTE, "r3"), text),), ())
                digest = digest_after(self.store.digest, self.store.texts, changes)
                self.assertIsInstance(self.store.apply(changes, digest), Malformed)
                self.assertIs(before, self.store.configuration)

    def test_an_invalid_document_changes_nothing(self) -> None:
        incomplete_route = b'{"ver":2,"routes":[{"name":"r"}],"svcs":[]}'
        for source in (b"", b"[]", incomplete_route, b'{"routes":7}', b'{"routes":[7]}'):
            with self.subTest(source=source):
                before = self.store.configuration
                self.assertIsInstance(self.store.try_replace(source), Malformed)
                self.assertIs(before, self.store.configuration)

    def test_an_integer_and_an_equal_float_are_different_items(self) -> None:
        one, one_as_float = b'{"a":1}', b'{"a":1.0}'
        key = ItemKey(Section.SETTING, "x")
        self.assertNotEqual(digest_item(key, one), digest_item(key, one_as_float))

    def test_unchanged_routes_stay_the_same_objects(self) -> None:
        before = self.store.route_index.match("a.example", "/p2/")
        self.store.replace(encode(configuration(2, route(1, timeout_ms=5.0), route(2))))
        self.assertIs(before, self.store.route_index.match("a.example", "/p2/"))

    def test_two_routes_may_exchange_their_prefixes(self) -> None:
        first, second = route(2, prefix="/x/"), route(4, prefix="/y/")
        self.store.replace(encode(configuration(2, first, second)))
        exchanged = (route(2, prefix="/y/"), route(4, prefix="/x/"))
        self.store.replace(encode(configuration(3, *exchanged)))
        matches = [self.store.route_index.match("a.example", path) for path in ("/x/1", "/y/1")]
        self.assertEqual(["r4", "r2"], [match.name if match else None for match in matches])


if __name__ == "__main__":
    unittest.main()
