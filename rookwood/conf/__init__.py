"""The operator file: its grammar, its schema with all defaults, and the checks of the whole."""

from rookwood.conf.read import Fault, OperatorFileError, OperatorSettings, Origin, load
from rookwood.conf.schema import Duties, Gateway, OperatorFile, Peer, Site, Store

__all__ = [
    "OperatorFileError",
    "Duties",
    "Fault",
    "Gateway",
    "OperatorFile",
    "Origin",
    "Peer",
    "OperatorSettings",
    "Site",
    "Store",
    "load",
]
