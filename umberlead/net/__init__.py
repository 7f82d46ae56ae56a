"""Network connections: from clients, to endpoints, and to service discovery."""
