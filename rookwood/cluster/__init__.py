"""What the data plane and the control plane share: settings, worker records and the links between them."""
