"""The object API's request handler: routes HTTP requests to operations and sends error responses."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from umberlead.configuration import ObjectApiConfig, ObjectOperation
from umberlead.frontends.health_check import always_ready, answer_health_check
from umberlead.frontends.object_api.blocks import BlockStore
from umberlead.frontends.object_api.errors import S3Error
from umberlead.frontends.object_api.multipart import MultipartWriter
from umberlead.frontends.object_api.reads import ObjectReader
from umberlead.frontends.object_api.requests import (
    CONDITIONAL_HEADERS,
    METADATA_HEADER_PREFIX,
    ObjectRequest,
    parse_object_request,
    reject_unsupported_features,
)
from umberlead.frontends.object_api.s3_messages import error_document
from umberlead.frontends.object_api.uploads import UploadRegistry
from umberlead.frontends.object_api.writes import ObjectWriter
from umberlead.net.client_connections import ClientGroup
from umberlead.net.http_message import HttpRequest
from umberlead.net.server_connection import ServerConnection
from umberlead.requests.lifecycle import RequestLifecycle

KNOWN_METHODS = (b"GET", b"HEAD", b"PUT", b"POST", b"DELETE")
CODE_BY_REJECTION_STATUS = {
    400: "InvalidRequest",
    408: "RequestTimeout",
    413: "EntityTooLarge",
    503: "SlowDown",
}

OperationHandler = Callable[[ObjectRequest], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class Route:
    """The handler of an operation of the API.

    Attributes:
        handle: serves a request.
        operation: the operation's configuration, with its timeout.
    """

    handle: OperationHandler
    operation: ObjectOperation


async def _answer_bucket_exists(request: ObjectRequest) -> None:
    request.conn.send_response(200, (), b"", 0)


class ObjectApi:
    """Serves the object API's listener; see `umberlead.net.server_connection.RequestHandler`.

    Attributes:
        unready_reason: returns why this process is not ready, for health checks; "" if it is.
    """

    sends_date = True
    singleton_headers = frozenset((b"range", b"content-md5", b"x-budget", b"if-range", b"x-amz-copy-source"))
    kept_headers = singleton_headers | CONDITIONAL_HEADERS | {b"content-type", b"x-amz-content-sha256"}
    kept_header_prefixes: tuple[bytes, ...] = (METADATA_HEADER_PREFIX.encode(),)
    allows_slow_bodies = True

    def __init__(
        self,
        config: ObjectApiConfig,
        lifecycle: RequestLifecycle,
        uploads: UploadRegistry,
        client_group: ClientGroup,
        retry_after_us: int,
        log: Any,
    ) -> None:
        """Create the handler.

        Args:
            config: the object API's configuration.
            lifecycle: accepts the requests to chunk servers.
            uploads: the multipart uploads of this process.
            client_group: the connections of the listener's clients.
            retry_after_us: the default Retry-After of 503 responses.
            log: a structlog logger.
        """
        self.config = config
        self.lifecycle = lifecycle
        self.retry_after_us = retry_after_us
        self.log = log
        self.unready_reason: Callable[[], str] = always_ready
        self.max_body_bytes = config.max_part_bytes
        self.tasks: set[asyncio.Task[None]] = set()
        self.writes_by_task: dict[Any, ObjectRequest] = {}  # their tasks must not be cancelled
        self._blocks = BlockStore(config, lifecycle, uploads.incarnation)
        reader = ObjectReader(config, lifecycle, self._blocks, client_group, log)
        writer = ObjectWriter(config, lifecycle, self._blocks, uploads)
        multipart = MultipartWriter(config, lifecycle, self._blocks, uploads)
        self._routes = {  # by method and sorted names of the query parameters
            (b"GET", ()): Route(reader.get, config.read),
            (b"HEAD", ()): Route(reader.get, config.read),
            (b"PUT", ()): Route(writer.put, config.write),
            (b"DELETE", ()): Route(writer.delete, config.write),
            (b"POST", ("uploads",)): Route(multipart.create, config.upload),
            (b"PUT", ("partNumber", "uploadId")): Route(multipart.upload_part, config.upload),
            (b"POST", ("uploadId",)): Route(multipart.complete, config.upload),
            (b"DELETE", ("uploadId",)): Route(multipart.abort, config.upload),
        }

    def handle_request(self, conn: ServerConnection, request: HttpRequest) -> None:
        """Serve a request in a new task."""
        if request.target == b"/healthz":
            answer_health_check(conn, self.unready_reason())
            return
        self.lifecycle.counters.add("objects_requests")
        request_id = f"{self._blocks.next_number():016x}"
        task = asyncio.get_running_loop().create_task(self._serve(conn, request, request_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        conn.handler_context = task

    def client_disconnected(self, conn: ServerConnection) -> None:
        """Cancel a read; let a write finish its chunk server requests in flight and start no others.

        The task of a write is not cancelled, so that the upload registry records the results of these
        requests.
        """
        task = conn.handler_context
        conn.handler_context = None
        request = self.writes_by_task.get(task)
        if request is not None:
            request.client_has_left = True
            for in_flight in list(request.open_block_requests):
                self.lifecycle.abandon(in_flight)
        elif task is not None:
            task.cancel()

    def reject(self, conn: ServerConnection, status: int, reason: str) -> None:
        """Answer a request that is malformed, or that the connection rejects for another reason."""
        error = S3Error(CODE_BY_REJECTION_STATUS.get(status, "RequestHeaderSectionTooLarge"), reason)
        self._send_error(conn, conn.partial_request or HttpRequest(), error, "")

    async def _serve(self, conn: ServerConnection, http_request: HttpRequest, request_id: str) -> None:
        conn.response_status = 0
        conn.response_length = 0
        try:
            request = parse_object_request(conn, http_request, request_id)
            if http_request.method not in (b"GET", b"HEAD"):
                self.writes_by_task[asyncio.current_task()] = request
            await self._route(request)(request)
        except S3Error as error:
            self.lifecycle.counters.add(f"objects_error_{error.code}")
            if conn.active_request is http_request:
                self._send_error(conn, http_request, error, request_id)
        except Exception as error:
            self.lifecycle.counters.add("objects_unexpected_errors")
            target = http_request.target.decode("latin-1")
            self.log.error("object_request_failed", error=repr(error), target=target)
            if conn.active_request is http_request:
                internal_error = S3Error("InternalError", "the front failed")
                self._send_error(conn, http_request, internal_error, request_id)
        finally:
            self.writes_by_task.pop(asyncio.current_task(), None)
            self._log_request(conn, http_request, request_id)

    def _log_request(self, conn: ServerConnection, http_request: HttpRequest, request_id: str) -> None:
        """Log the end of a request; status 0 means that the client disconnected before the response."""
        duration_us = self.lifecycle.clock() - http_request.received_us
        self.log.info(
            "object_request_ended",
            request_id=request_id,
            method=http_request.method.decode(),
            path=http_request.split_target()[0].decode("latin-1"),
            status=conn.response_status,
            response_bytes=conn.response_length,
            duration_ms=round(duration_us / 1000, 1),
        )

    def _send_error(
        self, conn: ServerConnection, http_request: HttpRequest, error: S3Error, request_id: str
    ) -> None:
        path = http_request.split_target()[0].decode("latin-1")
        headers = [b"Content-Type: application/xml", *error.headers]
        if error.status == 503:
            retry_after_seconds = math.ceil((error.retry_after_us or self.retry_after_us) / 1e6)
            headers.append(b"Retry-After: %d" % max(retry_after_seconds, 1))
        document = error_document(error, path, request_id)
        if http_request.method == b"HEAD":
            conn.send_response(error.status, headers, b"", len(document))
        else:
            conn.send_response(error.status, headers, document)

    def _route(self, request: ObjectRequest) -> OperationHandler:
        """Return the handler of a request's operation; set the request's plan and deadline."""
        method = request.http_request.method
        if not request.bucket:
            raise S3Error("NotImplemented", "buckets are not listed here")
        if request.bucket not in self.config.plan_by_bucket:
            raise S3Error("NoSuchBucket", f"no such bucket: {request.bucket}")
        request.plan = self.config.plan_by_bucket[request.bucket]
        if not request.key:
            if method == b"HEAD":
                return _answer_bucket_exists
            raise S3Error("NotImplemented", "buckets are set up in the operator's file, and not listed")
        reject_unsupported_features(request)
        route = self._routes.get((method, tuple(sorted(request.query))))
        if route is None:
            if method in KNOWN_METHODS and request.query:
                raise S3Error("NotImplemented", "this operation is not offered")
            raise S3Error("MethodNotAllowed", "this method is not offered here")
        request.set_timeout(route.operation.timeout_us)
        return route.handle
