"""Sockets: connections of clients and to chunk servers, and the watch on the list of chunk servers."""
