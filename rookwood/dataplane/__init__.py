"""The data plane: serves clients and sends each request to a worker that holds its weights."""
