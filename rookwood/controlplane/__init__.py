"""The control plane: configuration, worker registry and load orders. It runs on the core machines."""
