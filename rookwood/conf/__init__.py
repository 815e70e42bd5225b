"""The operator's file: read line by line, checked in one place, given defaults in one place."""

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
