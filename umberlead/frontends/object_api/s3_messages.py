"""The object API's words: error codes, XML answers, and the XML that a client sends."""

import re
from xml.etree import ElementTree as xml

import defusedxml.ElementTree as safe_xml

XML_NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"

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


class S3Error(Exception):
    """An error answer; `retry_after` in microseconds."""

    def __init__(self, code: str, message: str, retry_after_us: int = 0, *headers: bytes) -> None:
        super().__init__(message)
        self.code, self.message, self.retry_after_us, self.headers = code, message, retry_after_us, headers
        self.status = STATUS_BY_CODE[code]


def _replace_invalid_characters(text: str) -> str:
    """Without the characters that XML 1.0 can't hold."""
    return re.sub("[^\t\n\r\x20-\ud7ff\ue000-\ufffd\U00010000-\U0010ffff]", "?", text)


def xml_document(name: str, fields: dict[str, str], namespace: bool = True) -> bytes:
    root = xml.Element(name, {"xmlns": XML_NAMESPACE} if namespace else {})
    for key, value in fields.items():
        xml.SubElement(root, key).text = _replace_invalid_characters(value)
    return b'<?xml version="1.0" encoding="UTF-8"?>\n' + xml.tostring(root)


def error_document(error: S3Error, resource: str, request: str) -> bytes:
    told = {"Code": error.code, "Message": error.message, "Resource": resource, "RequestId": request}
    return xml_document("Error", told, namespace=False)


def parse_completed_parts(body: bytes) -> list[tuple[int, str]]:
    """Part numbers and ETags of a CompleteMultipartUpload, as listed."""
    try:
        root = safe_xml.fromstring(body)
        found = []
        for part in root.findall("{*}Part"):
            number, etag = part.findtext("{*}PartNumber"), part.findtext("{*}ETag")
            found.append((int(number), etag.strip().strip('"')))
    except (xml.ParseError, ValueError, TypeError, AttributeError):
        raise S3Error("MalformedXML", "the body is no CompleteMultipartUpload") from None
    if not found or root.tag.rpartition("}")[2] != "CompleteMultipartUpload":
        raise S3Error("MalformedXML", "the body is no CompleteMultipartUpload with parts")
    return found
