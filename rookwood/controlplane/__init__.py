"""The control plane: configuration, worker registry and load orders; it runs on the core machines."""
