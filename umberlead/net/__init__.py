"""Sockets: clients' connections, connections to endpoints, and the watch of service discovery."""
