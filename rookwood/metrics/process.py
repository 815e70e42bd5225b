"""What this process uses of the machine, from `/proc`."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

MEMORY_FILE = "/proc/self/statm"
DESCRIPTOR_DIRECTORY = "/proc/self/fd"
RESIDENT_FIELD = 1


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Memory, processor time and open descriptors at a moment."""

    resident_bytes: int
    processor_seconds: float
    descriptors: int

    @classmethod
    def read(cls) -> ProcessUsage:
        """The present usage; raises OSError where there is no `/proc`."""
        with open(MEMORY_FILE) as file:
            pages = int(file.read().split()[RESIDENT_FIELD])
        descriptors = len(os.listdir(DESCRIPTOR_DIRECTORY))
        return cls(pages * os.sysconf("SC_PAGE_SIZE"), time.process_time(), descriptors)
