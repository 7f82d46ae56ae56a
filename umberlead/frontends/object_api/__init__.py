"""The object API: S3's path style and terms over HTTP, unsigned, meant for clients on the loopback interface.

An object is a manifest and blocks. Each of them is one chunk server request through the request lifecycle,
and all of an object's stand on the shard that its key hashes to, so that any front finds them. Blocks are
written once, under names never used before; the manifest is written last and makes the object appear as a
whole or not at all.
"""
