"""Storage under random histories: failed, torn and doubtful writes, kills and losses of power.

The reference knows which record was stored last, and whether a write since then is in doubt.
"""

import shutil
import tempfile
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rookwood.coordination.document import Document, Position, Record
from rookwood.coordination.storage import Empty, Found, Storage
from rookwood.lab.faulty_disk import FaultyStorage

DISK_MB = 8
PAGE = 4096


class StorageMachine(RuleBasedStateMachine):
    """One disk over the lives of many processes."""

    def __init__(self) -> None:
        super().__init__()
        self.directory = Path(tempfile.mkdtemp())
        self.storage = FaultyStorage(str(self.directory), DISK_MB)
        self.stored: Record | None = None
        self.doubtful: Record | None = None
        self.count = 0

    def teardown(self) -> None:
        """Remove the disk."""
        self.storage.close()
        shutil.rmtree(self.directory)

    @initialize()
    def start(self) -> None:
        """The first process begins."""
        assert self.storage.load() == Empty()

    @rule(size=st.sampled_from([0, 100, 5000, 60_000]), trouble=st.sampled_from(["", "", "", "full", "torn"]))
    def save(self, size: int, trouble: str) -> None:
        """Store a record; after a failure read back, as a member does."""
        record = self.next_record(size)
        self.storage.full = trouble == "full"
        if trouble == "torn":
            self.storage.tear_next_write()
        if self.storage.save(record):
            self.stored, self.doubtful = record, None
            return
        self.storage.full = False
        self.doubtful = record
        self.read_back()

    @rule()
    def kill(self) -> None:
        """The process is killed, and another begins."""
        self.storage.close()
        self.storage = FaultyStorage(str(self.directory), DISK_MB)
        self.read_back()

    @rule(data=st.data())
    def lose_power_in_the_middle_of_a_write(self, data: st.DataObject) -> None:
        """Any page of the file in turn, and its end, may come out torn."""
        path = self.directory / self.storage.next_slot
        self.storage.close()
        if path.exists() and self.stored is not None:
            content = bytearray(path.read_bytes())
            for page in data.draw(st.sets(st.integers(0, max(0, len(content) // PAGE - 1)), max_size=4)):
                start = page * PAGE + data.draw(st.integers(0, PAGE - 1))
                content[start : (page + 1) * PAGE] = bytes((page + 1) * PAGE - start)
            path.write_bytes(content[: data.draw(st.integers(0, len(content)))])
        self.storage = FaultyStorage(str(self.directory), DISK_MB)
        self.read_back()

    @invariant()
    def disk_stays_small(self) -> None:
        """Files do not grow with the number of writes."""
        sizes = [path.stat().st_size for path in self.directory.iterdir()]
        assert sum(sizes) < DISK_MB << 20

    def next_record(self, size: int) -> Record:
        """A record unlike all before."""
        self.count += 1
        return Record(5, self.count, True, Document(Position(1, self.count), payload=bytes(size)))

    def read_back(self) -> None:
        """What is found is what was stored last, or the write in doubt."""
        outcome = self.storage.load()
        if self.stored is None:
            assert outcome == Empty() or outcome == Found(self.doubtful), outcome  # type: ignore[arg-type]
        else:
            candidates = [Found(record) for record in (self.stored, self.doubtful) if record is not None]
            assert outcome in candidates, outcome
        if isinstance(outcome, Found):
            self.stored, self.doubtful = outcome.record, None


class HealedStorageMachine(StorageMachine):
    """The same, and whatever came before, at most one write in two fails once the trouble is over."""

    @rule()
    def heal(self) -> None:
        """A healthy disk takes a write, at the second try at the latest."""
        record = self.next_record(100)
        if not self.storage.save(record):
            self.read_back()
            assert self.storage.save(record)
        self.stored, self.doubtful = record, None
        with_fresh_eyes = Storage(str(self.directory), DISK_MB)
        self.storage.close()
        assert with_fresh_eyes.load() == Found(record)
        with_fresh_eyes.close()
        self.storage = FaultyStorage(str(self.directory), DISK_MB)
        self.read_back()


StorageTest = HealedStorageMachine.TestCase
StorageTest.settings = settings(max_examples=100, stateful_step_count=25, deadline=None)
