"""Stand-ins and experiments: sites, boxes, links and traffic on loopback, and what was measured with them."""
