"""Control groups and their storage on full, stalled and slow disks, and with torn writes."""

import asyncio
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from rookwood.coordination import group
from rookwood.coordination.document import Record
from rookwood.coordination.group import Backup, Committed, Primary
from rookwood.coordination.storage import MARKER, Empty, Found
from rookwood.coordination.storage_thread import StorageThread
from rookwood.lab.faulty_disk import FaultyStorage, tear_slot_in_turn
from rookwood.lab.systemstage.waiting import eventually
from tests.test_coordination_group import FIRST_MEMBERS, Cluster

REPOSITORY = Path(__file__).parent.parent

# A limit on the size of files makes writes fail inside lmdb, as on a full disk.
FULL_DISK_SCRIPT = """
import resource, sys
from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.storage import Found, Storage

def record(count):
    document = Document(Position(1, count), Configuration((Member("10.0.0.1"),)), bytes([count]) * 160_000)
    return Record(5, count, True, document)

storage = Storage(sys.argv[1], 128)
storage.load()
assert all(storage.save(record(count)) for count in range(1, 5))
unlimited = resource.getrlimit(resource.RLIMIT_FSIZE)
for limit in (0, 1, 4096, 8192, 100_000):
    resource.setrlimit(resource.RLIMIT_FSIZE, (limit, unlimited[1]))
    for _ in range(5):
        assert not storage.save(record(5)), limit
        assert storage.load() == Found(record(4)), limit
    resource.setrlimit(resource.RLIMIT_FSIZE, unlimited)
    assert storage.save(record(4)), limit
assert storage.save(record(6))
storage.close()
assert Storage(sys.argv[1], 128).load() == Found(record(6))
print("healed")
"""

FULL_AT_START_SCRIPT = """
import resource, sys
from rookwood.coordination.document import Record
from rookwood.coordination.storage import Empty, Found, Storage

unlimited = resource.getrlimit(resource.RLIMIT_FSIZE)
for limit in (0, 4096, 8192):
    storage = Storage(sys.argv[1], 128)
    resource.setrlimit(resource.RLIMIT_FSIZE, (limit, unlimited[1]))
    for _ in range(3):
        assert storage.load() == Empty(), limit
        assert not storage.save(Record(0)), limit
    resource.setrlimit(resource.RLIMIT_FSIZE, unlimited)
    storage.close()
storage = Storage(sys.argv[1], 128)
assert storage.load() == Empty()
assert storage.save(Record(0, 1))
assert storage.load() == Found(Record(0, 1))
print("healed")
"""


STALLED_AT_EXIT_SCRIPT = """
import asyncio, sys, threading
from rookwood.coordination.storage_thread import StorageThread

async def main():
    thread = StorageThread("storage")
    hanging = asyncio.ensure_future(thread.run(threading.Event().wait))
    await asyncio.wait([hanging], timeout=0.05)
    thread.close()
    hanging.cancel()

asyncio.run(main())
print("ended", flush=True)
"""


class StorageThreadTest(unittest.IsolatedAsyncioTestCase):
    async def test_functions_run_in_order_and_raise_to_their_callers(self) -> None:
        thread = StorageThread("test")
        self.addCleanup(thread.close)
        done: list[int] = []
        await asyncio.gather(*(thread.run(done.append, number) for number in range(5)))
        self.assertEqual([0, 1, 2, 3, 4], done)
        with self.assertRaises(ZeroDivisionError):
            await thread.run(lambda: 1 // 0)
        self.assertEqual(7, await thread.run(int, "7"))

    async def test_process_exits_while_its_disk_hangs(self) -> None:
        done = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-c", STALLED_AT_EXIT_SCRIPT],
            cwd=REPOSITORY,
            capture_output=True,
            text=True,
            timeout=30,
        )
        self.assertEqual((0, "ended"), (done.returncode, done.stdout.strip()))


class FullDiskTest(unittest.TestCase):
    def run_script(self, script: str) -> str:
        """Run a script in a separate process with an empty directory as its argument; return its output."""
        with tempfile.TemporaryDirectory() as directory:
            done = subprocess.run(
                [sys.executable, "-c", script, directory], cwd=REPOSITORY, capture_output=True, text=True
            )
        return done.stdout.strip() or done.stderr

    def test_storage_recovers_after_its_disk_rejected_every_write(self) -> None:
        self.assertEqual(self.run_script(FULL_DISK_SCRIPT), "healed")

    def test_storage_that_starts_on_a_full_disk_is_empty_and_recovers(self) -> None:
        self.assertEqual(self.run_script(FULL_AT_START_SCRIPT), "healed")


class FaultyStorageTest(unittest.TestCase):
    def test_torn_first_write_leaves_an_empty_storage(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            storage = FaultyStorage(directory, 128)
            storage.load()
            storage.tear_next_write()
            self.assertFalse(storage.save(Record(5, 1)))
            self.assertEqual(storage.load(), Empty())
            self.assertTrue(storage.save(Record(5, 2)))
            storage.tear_next_write()
            self.assertFalse(storage.save(Record(5, 3)))
            self.assertEqual(storage.load(), Found(Record(5, 2)))
            storage.close()


class DiskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(directory.name)
        self.addAsyncCleanup(self.cluster.stop_all)

    async def start_with_one_commit(self) -> tuple[str, FaultyStorage]:
        """Start three members and make one commit; return the primary and its disk."""
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        await self.commit_at_any_primary(b"a")
        return primary, self.cluster.disks[primary]

    async def commit_at_any_primary(self, text: bytes) -> None:
        """Commit a change at the current primary, and repeat it until its outcome is `Committed`."""

        def once(payload: bytes) -> bytes:
            return payload if payload.endswith(text) else payload + text

        async with asyncio.timeout(15):
            while True:
                await self.cluster.until(lambda: self.cluster.primary_address() is not None)
                primary = self.cluster.primary_address()
                if primary is None:
                    continue
                if isinstance(await self.cluster.groups[primary].propose(once, limit=1.5), Committed):
                    return

    async def until_write_rejected(self, disk: FaultyStorage) -> None:
        """Wait until a disk has rejected a write."""
        await eventually(lambda: disk.writes_refused > 0, "a write was refused")

    async def until_all_have(self, payload: bytes) -> None:
        """Wait until every member has this payload."""
        await self.cluster.until(lambda: all(self.cluster.payload(ip) == payload for ip in FIRST_MEMBERS))

    async def until_replaced(self, primary: str) -> None:
        """Wait until another member is primary."""
        await self.cluster.until(lambda: self.cluster.primary_address() not in (None, primary))

    async def test_primary_with_a_full_disk_hands_over_and_follows_once_there_is_space(self) -> None:
        primary, disk = await self.start_with_one_commit()
        disk.full = True
        await self.commit_at_any_primary(b"b")
        self.assertNotEqual(self.cluster.primary_address(), primary)
        self.assertGreater(disk.writes_refused, 0)
        disk.full = False
        await self.until_all_have(b"ab")
        self.assertIn(primary, self.cluster.groups[primary].members())
        await self.cluster.until_led()
        await self.commit_at_any_primary(b"c")
        await self.until_all_have(b"abc")

    async def test_backup_with_a_full_disk_does_not_block_commits(self) -> None:
        primary, _ = await self.start_with_one_commit()
        backup = next(ip for ip in FIRST_MEMBERS if ip != primary)
        self.cluster.disks[backup].full = True
        await self.commit_at_any_primary(b"b")
        self.cluster.disks[backup].full = False
        await self.until_all_have(b"ab")

    async def test_primary_with_a_stalled_disk_hands_over_and_follows_once_it_resumes(self) -> None:
        primary, disk = await self.start_with_one_commit()
        disk.stall()
        await self.commit_at_any_primary(b"b")
        self.assertNotEqual(self.cluster.primary_address(), primary)
        disk.resume()
        await self.until_all_have(b"ab")

    async def test_stop_does_not_wait_for_a_hanging_disk(self) -> None:
        """A write under way may or may not reach the disk, as after a kill."""
        self.enterContext(patch.object(group, "CLOSE_TIMEOUT", 0.05))
        primary, disk = await self.start_with_one_commit()
        disk.stall()
        await self.commit_at_any_primary(b"b")
        async with asyncio.timeout(10):
            await self.cluster.groups[primary].stop()
        disk.resume()

    async def test_changes_commit_on_slow_disks(self) -> None:
        await self.start_with_one_commit()
        for disk in self.cluster.disks.values():
            disk.delay = 0.05
        await self.commit_at_any_primary(b"b")
        await self.until_all_have(b"ab")

    async def test_torn_write_of_the_primary_loses_nothing(self) -> None:
        _, disk = await self.start_with_one_commit()
        disk.tear_next_write()
        await self.commit_at_any_primary(b"b")
        await self.until_all_have(b"ab")

    async def test_acknowledged_changes_survive_torn_writes_on_all_members(self) -> None:
        await self.start_with_one_commit()
        await self.commit_at_any_primary(b"b")
        await asyncio.gather(*(self.cluster.stop(ip) for ip in FIRST_MEMBERS))
        for ip in FIRST_MEMBERS:
            tear_slot_in_turn(self.cluster.directory(ip), 128)
        await asyncio.gather(*(self.cluster.start(ip, bootstrap=False) for ip in FIRST_MEMBERS))
        await self.until_all_have(b"ab")

    async def test_first_members_with_full_disks_form_a_group_once_there_is_space(self) -> None:
        for full in (FIRST_MEMBERS[:1], FIRST_MEMBERS):
            with self.subTest(full=len(full)):
                self.cluster.full_at_start = frozenset(full)
                await self.cluster.start_all()
                for ip in full:
                    await self.until_write_rejected(self.cluster.disks[ip])
                for ip in full:
                    self.cluster.disks[ip].full = False
                await self.commit_at_any_primary(b"a")
                await self.until_all_have(b"a")
                for ip in FIRST_MEMBERS:
                    await eventually((Path(self.cluster.directory(ip)) / MARKER).exists, "it has stored it")
                roles = [group.role() for group in self.cluster.groups.values()]
                self.assertTrue(all(isinstance(role, Primary | Backup) for role in roles), roles)
                await self.cluster.stop_all()
                for ip in FIRST_MEMBERS:
                    self.cluster.wipe(ip)


if __name__ == "__main__":
    unittest.main()
