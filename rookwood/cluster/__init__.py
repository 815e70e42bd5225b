"""Code of both the data plane and the control plane: settings, worker records and the links between them."""
