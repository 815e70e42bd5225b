"""An HTTP client for workers, used by both programs.

`connections` decides when a response is complete and when a connection may be reused. `client` sends requests
on such connections, each at most once. Everything that depends on internals of aiohttp is in `connections`;
`tests/test_httpclient_library.py` fails when the library changes there.
"""
