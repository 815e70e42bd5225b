"""A whole system on loopback: processes, operator, clients and the judge of what they saw."""
