"""XML documents of the object API: those it sends, and those that clients send."""

import re
from typing import NamedTuple
from xml.etree import ElementTree

from defusedxml.ElementTree import fromstring

from umberlead.frontends.object_api.errors import S3Error

XML_NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"


class CompletedPart(NamedTuple):
    """A part that a client lists to complete an upload.

    Attributes:
        number: the part number.
        etag: the part's ETag, without quotes.
    """

    number: int
    etag: str


def _replace_invalid_characters(text: str) -> str:
    """Replace the characters that are not allowed in XML 1.0 with question marks."""
    return re.sub("[^\t\n\r\x20-\ud7ff\ue000-\ufffd\U00010000-\U0010ffff]", "?", text)


def xml_document(name: str, fields: dict[str, str], namespace: bool = True) -> bytes:
    """Return a document whose root element has a child element for each field.

    Args:
        name: the name of the root element.
        fields: the text of each child element by its name, in order.
        namespace: whether the root element is in S3's namespace.
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
    """Return the parts of a CompleteMultipartUpload document, in their order there.

    Raises:
        S3Error: the body is not a CompleteMultipartUpload document with parts.
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
