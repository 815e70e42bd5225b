"""Duties that one dispatcher holds at a time: majority leases, and fencing tokens that receivers check."""
