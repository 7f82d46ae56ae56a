"""The object API in S3's path style: objects, byte ranges, multipart uploads."""
