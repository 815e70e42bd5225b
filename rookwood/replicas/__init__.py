"""State that matters, replicated among the dispatchers of a site (docs/replicas.md)."""
