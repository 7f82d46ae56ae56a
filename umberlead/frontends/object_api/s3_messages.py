"""XML of the object API: the documents that it sends, and those that clients send."""

import re
from typing import NamedTuple
from xml.etree import ElementTree

from defusedxml.ElementTree import fromstring

from umberlead.frontends.object_api.errors import S3Error

XML_NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"


class CompletedPart(NamedTuple):
    """A part that a client lists to complete an upload.

    Attributes:
        number: its number.
        etag: its ETag, without quotes.
    """

    number: int
    etag: str


def _replace_invalid_characters(text: str) -> str:
    """Replace the characters that XML 1.0 can't hold."""
    return re.sub("[^\t\n\r\x20-\ud7ff\ue000-\ufffd\U00010000-\U0010ffff]", "?", text)


def xml_document(name: str, fields: dict[str, str], namespace: bool = True) -> bytes:
    """Return a document whose root has a child element for each field.

    Args:
        name: the root's name.
        fields: texts by names of elements, in order.
        namespace: whether the root is in S3's namespace.
    """
    root = ElementTree.Element(name, {"xmlns": XML_NAMESPACE} if namespace else {})
    for key, value in fields.items():
        ElementTree.SubElement(root, key).text = _replace_invalid_characters(value)
    return b'<?xml version="1.0" encoding="UTF-8"?>\n' + ElementTree.tostring(root)


def error_document(error: S3Error, resource: str, request_id: str) -> bytes:
    """Return the document of an error response.

    Args:
        error: the error.
        resource: the path that was requested.
        request_id: the request's id in the log.
    """
    fields = {"Code": error.code, "Message": error.message, "Resource": resource, "RequestId": request_id}
    return xml_document("Error", fields, namespace=False)


def parse_completed_parts(body: bytes) -> list[CompletedPart]:
    """Return the parts of a CompleteMultipartUpload, as listed.

    Raises:
        S3Error: the body is no such document.
    """
    try:
        root = fromstring(body)
        parts = []
        for part in root.findall("{*}Part"):
            number = part.findtext("{*}PartNumber")
            etag = part.findtext("{*}ETag")
            parts.append(CompletedPart(int(number), etag.strip().strip('"')))
    except (ElementTree.ParseError, ValueError, TypeError, AttributeError):
        raise S3Error("MalformedXML", "the body is no CompleteMultipartUpload") from None
    if not parts or root.tag.rpartition("}")[2] != "CompleteMultipartUpload":
        raise S3Error("MalformedXML", "the body is no CompleteMultipartUpload with parts")
    return parts
