"""Who lives among the dispatchers of a site: alive, suspected, dead or left (docs/members.md)."""
