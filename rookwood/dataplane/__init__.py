"""The data plane: serves clients and routes each request to a worker that holds its weights."""
