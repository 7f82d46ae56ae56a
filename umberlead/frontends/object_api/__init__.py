"""The object API: a subset of S3 with path-style URLs over HTTP, for clients on the loopback interface.

Requests are not authenticated: signatures are not checked. An object is stored as a manifest and blocks.
Each of them is read or written by one chunk server request through the request lifecycle, and all of them are
on the shard that the object's key hashes to, so that any front finds them. Blocks are written once, under
names never used before. The manifest is written last, so that an object becomes visible as a whole or not at
all.
"""
