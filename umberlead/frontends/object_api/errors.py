"""Errors of the object API, and the HTTP status of each S3 error code."""

from umberlead.common.errors import UmberleadError

STATUS_BY_CODE = {
    "BadDigest": 400,
    "EntityTooLarge": 413,
    "InternalError": 500,
    "InvalidArgument": 400,
    "InvalidPart": 400,
    "InvalidPartOrder": 400,
    "InvalidRange": 416,
    "InvalidRequest": 400,
    "KeyTooLongError": 400,
    "MalformedXML": 400,
    "MethodNotAllowed": 405,
    "NoSuchBucket": 404,
    "NoSuchKey": 404,
    "NoSuchUpload": 404,
    "NotImplemented": 501,
    "OperationAborted": 409,
    "PreconditionFailed": 412,
    "RequestTimeout": 408,
    "SlowDown": 503,
    "RequestHeaderSectionTooLarge": 431,
}


class ManifestFormatError(UmberleadError, ValueError):
    """A stored manifest has a format version that this program can't read."""


class S3Error(UmberleadError):
    """An S3 error response.

    Attributes:
        code: the S3 error code, a key of `STATUS_BY_CODE`.
        message: the error message for the client.
        status: the HTTP status.
        retry_after_us: after how many microseconds the client may retry; 0 stands for the front's default.
        headers: further header lines of the response.
    """

    def __init__(self, code: str, message: str, retry_after_us: int = 0, *headers: bytes) -> None:
        """Create the error.

        Args:
            code: the S3 error code.
            message: the error message for the client.
            retry_after_us: see the attribute.
            headers: further header lines of the response.

        Raises:
            KeyError: the code is not in `STATUS_BY_CODE`.
        """
        super().__init__(message)
        self.code = code
        self.message = message
        self.retry_after_us = retry_after_us
        self.headers = headers
        self.status = STATUS_BY_CODE[code]


def uncertain_part_error(number: int) -> S3Error:
    """Return the error for a part that may have been stored, in part or whole."""
    return S3Error(
        "OperationAborted",
        f"part {number} may have been stored in part or whole; it is not sent again: abort the upload, "
        "or store the content under another part number",
    )
