"""One process of a front: assembly, start, reload, graceful shutdown, shared state and logging."""
