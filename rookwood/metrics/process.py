"""Reads the memory, processor time and descriptors that this process uses, from `/proc`."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

MEMORY_FILE = "/proc/self/statm"
DESCRIPTOR_DIRECTORY = "/proc/self/fd"
RESIDENT_FIELD = 1


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Memory, processor time and open descriptors of the process at one moment."""

    resident_bytes: int
    processor_seconds: float
    descriptors: int

    @classmethod
    def read(cls) -> ProcessUsage:
        """Return the current usage; raises OSError if there is no `/proc`."""
        with open(MEMORY_FILE) as file:
            pages = int(file.read().split()[RESIDENT_FIELD])
        descriptors = len(os.listdir(DESCRIPTOR_DIRECTORY))
        return cls(pages * os.sysconf("SC_PAGE_SIZE"), time.process_time(), descriptors)
