"""The gateway between sites: forwards waiting requests ("jobs") to the dispatchers of another site.

The *home* site is the one whose client waits; the *away* site runs the forwarded job as a *guest*. A job
whose class is not safe to retry never runs twice.

The decisions use neither I/O nor a clock: `handoff`, `lease`, `routing`, `lending`, `advice`. `frames`
defines the messages; `link` and `secure` handle sockets and TLS; `home` and `guests` run the two sides;
`gate` combines them. `explore` is the model checker of `handoff`.
"""
