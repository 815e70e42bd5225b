"""Registers replicated in memory among the dispatchers of a site (docs/replicas.md)."""
