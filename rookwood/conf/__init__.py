"""The operator's file: read line by line, checked in one place, given defaults in one place."""

from rookwood.conf.read import ConfError, Fault, Origin, Settings, load
from rookwood.conf.schema import Duties, Gateway, Operator, Peer, Site, Store

__all__ = [
    "ConfError",
    "Duties",
    "Fault",
    "Gateway",
    "Operator",
    "Origin",
    "Peer",
    "Settings",
    "Site",
    "Store",
    "load",
]
