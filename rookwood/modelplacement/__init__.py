"""Placement of model weights on the workers of an engine service, and the choice of a worker per request.

The package is pure: it performs no I/O, reads no clock and draws no random numbers of its own. `table` runs
in every dispatcher, `selection` for every request, and `loads` in the primary that issues a service's load
orders.
"""
