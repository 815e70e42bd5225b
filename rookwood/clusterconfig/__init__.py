"""The cluster configuration: its types, validation, changes and request routing.

The modules of this package do no input or output. Only `validation` and `history` import the
validation library, so a data plane that uses `document`, `loading` and `routing` does not load it.
"""
