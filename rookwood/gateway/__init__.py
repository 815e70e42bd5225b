"""The gateway between sites: jobs cross to another site's dispatchers and come back, and never run twice.

Decisions without I/O and without a clock: `handoff`, `lease`, `routing`, `lending`, `advice`. Messages:
`frames`. Sockets: `link`, `secure`. All put together: `gate`.
"""
