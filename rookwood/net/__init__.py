"""The real dispatcher: the decisions of ``rookwood.policy`` on sockets."""
