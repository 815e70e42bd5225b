"""Duties that one dispatcher holds at a time: leases from a majority, and tokens that receivers check."""
