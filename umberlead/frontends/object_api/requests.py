"""Requests to the object API: parsing, and rejection of S3 features that are not supported."""

from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote_to_bytes

from umberlead.frontends.object_api.errors import S3Error
from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.types import InFlightRequest

MAX_KEY_BYTES = 1024
METADATA_HEADER_PREFIX = "x-amz-meta-"  # of fields that are stored with an object
MAX_BUDGET_SECONDS = 86400.0
BUDGET_US_PER_SECOND = 0.95e6  # the remainder is reserved for the network in both directions
IGNORED_PARAMETERS = frozenset(("x-id",))  # SDKs put the name of the operation there
CONDITIONAL_HEADERS = frozenset((b"if-match", b"if-none-match", b"if-modified-since", b"if-unmodified-since"))


@dataclass(slots=True)
class ObjectRequest:
    """One client request while it is served.

    Attributes:
        conn: the client's connection.
        http_request: the HTTP request.
        request_id: the request's id in the log and in error responses.
        bucket: the bucket.
        key: the object's key, empty for a request about the bucket.
        query: the query's parameters.
        plan: the bucket's plan.
        timeout_us: how long the client waits, from `HttpRequest.received_us` on.
        deadline_us: when the request has to be answered.
        response_has_begun: whether a part of the response was sent.
        last_progress_us: when its latest block was read, or its client read what had been sent.
        open_block_requests: the chunk server requests in flight for this request.
        client_has_left: whether the client disconnected while a write was in progress.
    """

    conn: ServerConnection
    http_request: HttpRequest
    request_id: str
    bucket: str
    key: str
    query: dict[str, str]
    plan: str = ""
    timeout_us: int = 0
    deadline_us: int = 0
    response_has_begun: bool = False
    last_progress_us: int = 0
    open_block_requests: set[InFlightRequest] = field(default_factory=set)
    client_has_left: bool = False

    def set_timeout(self, operation_timeout_us: int) -> None:
        """Set the time limit: that of the operation, or of the client if that is shorter.

        Raises:
            S3Error: X-Budget is malformed or not above 0.
        """
        self.timeout_us = min(operation_timeout_us, time_budget_us(self))
        self.deadline_us = self.http_request.received_us + self.timeout_us

    def header(self, name: bytes) -> str:
        """Return the value of a header field by its lower-case name; empty if the request has none."""
        return self.http_request.headers.get(name, b"").decode("latin-1").strip()


def parse_object_request(conn: ServerConnection, http_request: HttpRequest, request_id: str) -> ObjectRequest:
    """Parse the bucket, the key and the query parameters of a request.

    Raises:
        S3Error: one of them is not UTF-8, or the key is too long.
    """
    path, query = http_request.split_target()
    raw_bucket, _, raw_key = path.lstrip(b"/").partition(b"/")
    try:
        bucket = unquote_to_bytes(raw_bucket).decode()
        key = unquote_to_bytes(raw_key).decode()
        parameters = parse_qs(query.decode(), keep_blank_values=True)
    except UnicodeDecodeError:
        raise S3Error("InvalidArgument", "names must be UTF-8") from None
    if len(key.encode()) > MAX_KEY_BYTES:
        raise S3Error("KeyTooLongError", f"a key may have {MAX_KEY_BYTES} bytes")
    first_values = {name: values[0] for name, values in parameters.items() if name not in IGNORED_PARAMETERS}
    return ObjectRequest(conn, http_request, request_id, bucket, key, first_values)


def reject_unsupported_features(request: ObjectRequest) -> None:
    """Reject features that would lose or corrupt data if they were ignored.

    Raises:
        S3Error: the request has a body in signed chunks, a conditional write, or a source to copy from.
    """
    http_request = request.http_request
    if request.header(b"x-amz-content-sha256").startswith("STREAMING-"):
        raise S3Error("NotImplemented", "signed chunks are not read here: send the body as it is, unsigned")
    writes = http_request.method in (b"PUT", b"DELETE")
    if writes and not CONDITIONAL_HEADERS.isdisjoint(http_request.headers):
        raise S3Error("NotImplemented", "writes take no conditions here")
    if request.header(b"x-amz-copy-source"):
        raise S3Error("NotImplemented", "objects are not copied here")


def time_budget_us(request: ObjectRequest) -> int:
    """Return how long the client waits, from its X-Budget in seconds as in the platform protocol.

    Part of the client's budget is left out for the network. Without X-Budget the result is the maximum.

    Raises:
        S3Error: X-Budget is malformed or not above 0.
    """
    try:
        seconds = float(request.header(b"x-budget") or "inf")
    except ValueError:
        raise S3Error("InvalidArgument", "X-Budget must be seconds") from None
    if not seconds > 0:
        raise S3Error("InvalidArgument", "X-Budget must be above 0")
    return int(min(seconds, MAX_BUDGET_SECONDS) * BUDGET_US_PER_SECOND)
