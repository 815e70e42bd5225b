"""Placement of model weights on the workers of an engine service, and the choice of a worker per request.

The package is pure: it performs no I/O, reads no clock and draws no random number of its own.
`table` runs in every dispatcher, `selection` for every request, `loads` in the one primary that gives the
load orders of a service.
"""
