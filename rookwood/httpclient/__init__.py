"""HTTP connections to workers, for both programs.

`connections` decides when an answer is whole and when a connection may be used again; `session` opens a
client on such connections that never sends a request a second time. All that depends on the inside of
aiohttp stands in `connections`; `tests/test_httpclient_library.py` fails when the library changes there.
"""
