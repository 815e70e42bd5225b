"""A dispatcher on real sockets: carries out the decisions of `rookwood.policy`."""
