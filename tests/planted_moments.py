"""Mutation tests of the fixes for race conditions: each mutation undoes one fix, and a test must fail.

`make planted-moments` runs them as planted.py describes."""

import sys

from tests import planted

CLIENTS, SERVER = "umberlead/net/client_connections.py", "umberlead/net/server_connection.py"
LIFECYCLE, SCHEDULER = "umberlead/requests/lifecycle.py", "umberlead/scheduling/scheduler.py"
NODE, PARSER = "umberlead/net/endpoint_connection.py", "umberlead/net/response_parser.py"
RESPONSES = "umberlead/net/response_handling.py"
STREAM, POOL = "umberlead/net/streaming.py", "umberlead/net/endpoint_pool.py"
WATCH, PROCESS = "umberlead/net/discovery.py", "umberlead/daemon/process.py"
SHUTDOWN, SHARED_STATE = "umberlead/daemon/shutdown.py", "umberlead/daemon/shared_state_sync.py"
BLOCKS = "umberlead/frontends/object_api/blocks.py"
OBJECTS, START = "umberlead/frontends/object_api/handler.py", "umberlead/start.py"
VOLUMES, SHARED = "umberlead/scheduling/rate_limits.py", "umberlead/handover/process_registry.py"
WATCHING, GUARD = "umberlead/recovery/discovery_pacing.py", "umberlead/requests/send_guard.py"

INPUT, WATCHED = "umberlead/net/connection_input.py", "umberlead/net/watch_stream.py"

planted.TESTS = (
    "tests/test_client_disconnects.py",
    "tests/test_race_conditions.py",
    "tests/test_discovery.py",
    "tests/test_streamed_responses.py",
    "tests/test_streaming_race_conditions.py",
    "tests/test_standing.py",
    "tests/test_request_delivery.py",
    "tests/test_rate_limits.py",
    "tests/test_object_reads.py",
    "tests/test_exchanges.py",
)
planted.PLANTED = (  # type: ignore[assignment]
    ("shutdown: a partly read request is left open at the deadline", SERVER, "if partial and self.active_request is None and not self.ended:\n            self.reject(503", "if False:\n            self.reject(503"),
    ("shutdown: a pipelined request is served at the deadline", CLIENTS, "        self.rejecting = self.close_after_response = True\n", "        self.close_after_response = True\n"),
    ("shutdown: a request that was never sent counts as possibly executed", LIFECYCLE, "        unsent = attempt is None or (self.transport is not None and self.transport.cancel_if_unsent(attempt))\n", "        unsent = attempt is None\n"),
    ("shutdown: a process that was stopped during its start listens", PROCESS, "if self.shutdown.stop_requested:  # before any client was accepted", "if False:"),
    ("shutdown: SIGTERM during a start kills the process", START, "    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))\n", ""),
    ("shutdown: SIGHUP during a start is lost", PROCESS, "        if self._early_reload_signals:", "        if False:"),
    ("shutdown: pipelined requests are dropped", SERVER, "if self._closes_with_this_response() and not (self.has_more_input() or self.has_unread_request()):", "if self._closes_with_this_response():"),
    ("shutdown: a partly read request behind another is left open", SERVER, "        if self.clients.rejecting:\n            self.begin_shutdown()\n", "        if False:\n            self.begin_shutdown()\n"),
    ("malformed input: pipelined input has no limit", INPUT, "        if self.clients.buffered_bytes > self.clients.buffer_limit_bytes:\n            self.clients.counters.add(\"bodies_over_memory\")\n            self._pending_input.discard_unparsed()", "        if False:\n            self._pending_input.discard_unparsed()"),
    ("idle connections: a connection with an unread request is closed", SERVER, "if self.is_idle() and not self.has_unread_request():", "if self.is_idle():"),
    ("idle connections: a connection with an unread request is evicted", CLIENTS, "            if victim.has_unread_request():", "            if False:"),
    ("malformed input: complete requests before it are dropped", INPUT, "self._rejection = RequestRejection(status, reason, rejected_target)", "self.ended = self.close_after_response = True"),
    ("client disconnects: not detected while reading is paused", CLIENTS, "if conn.is_reading_paused() and conn.pending_events() & DISCONNECT_POLL_EVENTS:", "if False:"),
    ("client disconnects: pipelined requests are kept", SERVER, "        self._rejection = None\n        self._pending_input.discard_all()\n", "        self._rejection = None\n"),
    ("client disconnects: a connection attempt goes on", LIFECYCLE, "                self.transport.cancel_if_unsent(attempt)\n        self._post(ClientDisconnected", "                pass\n        self._post(ClientDisconnected"),
    ("client disconnects: a cancelled connection attempt counts as failed", NODE, "                reason if self.written or reason is AttemptResult.NOT_SENT else AttemptResult.CONNECT_FAILED\n", "                reason if self.written else AttemptResult.CONNECT_FAILED\n"),
    ("client disconnects: further blocks are sent", BLOCKS, "        if request.client_has_left:\n", "        if False:\n"),
    ("client disconnects: a queued block is sent", OBJECTS, "                self.lifecycle.abandon(in_flight)\n", "                pass\n"),
    ("client disconnects: not checked when an attempt is decided", GUARD, "return None if self._is_client_connected(request) else Denial.CLIENT_LEFT", "return None"),
    ("client disconnects: not checked when a connection is established", GUARD, "        return self._request_denial(attempt.request)\n", "        return None\n"),
    ("client disconnects: the rest of a request is written in the same iteration", NODE, "if self.write_paused and not self.written and self.is_open():", "if False:"),
    ("client disconnects: other decisions of the same batch get no result", "umberlead/requests/decision_loop.py", "for action, request in [(action, self._request_of(action)) for action in actions]:", "for action, request in ((action, self._request_of(action)) for action in actions):"),
    ("client disconnects: the next queued request is not sent", SCHEDULER, "            self._shards_to_dispatch[pending.shard] = None  # the next request of the queue may be sent\n", ""),
    ("client disconnects: a limit is charged for a request that was not sent", VOLUMES, "self[pending.request.volume].limit.return_units(pending.request.units)", "pass"),
    ("discovery: a draining endpoint gets a request whose connection was being established", GUARD, "if not self._accepts_new_requests(attempt.endpoint):", "if False:"),
    ("watches: unread bytes of a replaced watch are not read", WATCH, "            if stream is not None:\n                stream.read_unread_bytes()\n", "            if False:\n                stream.read_unread_bytes()\n"),
    ("watches: unread bytes are not read before a watch counts as silent", WATCH, "            stream.read_unread_bytes()\n            if stream.ended or", "            if stream.ended or"),
    ("retries: a reset with the last bytes counts as a regular end", RESPONSES, "if self.response.framed or self._socket_state().was_reset():", "if self.response.framed:"),
    ("pipelining: requests beyond the first steps of a read are never answered", INPUT, "            self.clients.input_turns.defer(self)\n", "            pass\n"),
    ("pipelining: a request's deadline runs from when it is parsed", "umberlead/net/request_parser.py", "request.received_us = self._received_us", "request.received_us = self._clients.clock()"),
    ("watches: an indented list is rejected", WATCHED, "        if self.brace_depth > 0:\n            return\n", ""),
    ("watches: a list is applied only at the end of its line", WATCHED, "        if self.partial_line.endswith(b\"}\"):", "        if False:"),
    ("watches: a malformed line is ignored", WATCHED, "        if not self.watch.apply_line(self, object_text):", "        if not self.watch.apply_line(self, object_text) and False:"),
    ("watches: the rest of an incomplete object is waited for", WATCHED, "            if self.brace_depth:\n                self.end", "            if False:\n                self.end"),
    ("watches: a call without a response is kept for the silence time-out", WATCHING, "        return AGENT_RESPONSE_TIMEOUT_US\n", "        return SERVICE_RESPONSE_TIMEOUT_US\n"),
    ("watches: calls to the machine's own agent are spread as in a fleet", WATCHING, "        if self.is_agent or (self.is_agent is None and hung):\n", "        if False:\n"),
    ("watches: a service that rejects calls is called as an agent", WATCHING, "            self.is_agent = False\n", "            pass\n"),
    ("watches: a server that sends no response is taken for a service", WATCHING, "        if self.is_agent is None and not call.answered:\n", "        if False:\n"),
    ("watches: silent watches are reopened over the whole spread", WATCHING, "since_us = call.last_activity_us if silent else", "since_us = now_us if silent else"),
    ("watches: the time without a response does not count towards the limit", WATCHING, "remaining_us = since_us + MAX_CALL_GAP_US - now_us", "remaining_us = MAX_CALL_GAP_US"),
    ("watches: a Retry-After exceeds the limit", "umberlead/recovery/backoff.py", "max(delay_us, min(retry_after_us, remaining_us))", "max(delay_us, retry_after_us)"),
    ("watches: the late response to a cancelled call is ignored", WATCH, "elif self.late_stream is None and self.pacing.is_still_read(stream.call, now_us):", "elif False:"),
    ("watches: requests are accepted before the list has arrived", PROCESS, "if self.discovery_watch is None or not self.discovery_watch.expects_agent:", "if True:"),
    ("streamed responses: one that makes progress is aborted past its deadline", STREAM, "        if response.complete:\n            self.finish()", "        if self._pool.clock() > self.deadline_us and not response.complete:\n            self.abort(AbortReason.TOO_LARGE)\n        elif response.complete:\n            self.finish()"),
    ("streamed responses: one whose endpoint has been silent for 10 s is aborted", STREAM, "        if response.feed(data, now_us):", "        if now_us - response.last_received_us < 10_000_000 and response.feed(data, now_us):"),
    ("streamed responses: one past the size limit is not aborted", STREAM, "elif exceeds_stream_limit(self.forwarded_bytes):", "elif False:"),
    ("streamed responses: none is evicted at endpoints", POOL, "            min(overdue)[2].evict()\n", "            return False\n"),
    ("endpoint connections: a lower limit closes all idle ones", POOL, "        for _ in range(len(self.slots) - self.max_connections):  # slots are freed one iteration later\n", "        while len(self.slots) > self.max_connections:\n"),
    ("streamed responses: none is evicted at clients", CLIENTS, "        if not overdue:\n            return False\n", "        return False\n"),
    ("streamed responses: an aborted one looks complete to an HTTP/1.0 client", SERVER, "if not (self.chunked or self.response_length or self.transport.is_closing()):", "if False:"),
    ("retries: an interim response counts as the beginning of the answer", PARSER, "            self.started = False\n", ""),
    ("streamed responses: one that may be long is cut off at its deadline", POOL, "not (conn.stream_past_deadline() or conn.await_past_deadline())", "not conn.await_past_deadline()"),
    ("streamed responses: one that pauses at its deadline is timed out", RESPONSES, "return self._can_stream(attempt) and not is_small_response(response.content_length)", "return self._can_stream(attempt) and response.last_received_us + 650_000 > self.pool.clock()"),
    ("streamed responses: one that is known to be small is streamed at its deadline", RESPONSES, "return self._can_stream(attempt) and not is_small_response(response.content_length)", "return self._can_stream(attempt)"),
    ("streamed responses: a part of one is held back", RESPONSES, "            self._limit_hold(self.attempt)\n", "            pass\n"),
    ("object reads: a block that has begun is timed out at its deadline", POOL, "not (conn.stream_past_deadline() or conn.await_past_deadline())", "not conn.stream_past_deadline()"),
    ("object reads: a stalled one is awaited", "umberlead/frontends/object_api/stall_watch.py", "        if progress_us < since_us:\n            self._on_stall()", "        if False:\n            self._on_stall()"),
    ("deadlines: an unread response is timed out", POOL, "        elif has_unread:\n            self.counters", "        elif False:\n            self.counters"),
    ("streamed responses: a read's last attempt is aborted when its endpoint pauses", LIFECYCLE, "must_not_repeat = is_last or ", "must_not_repeat = "),
    ("streamed responses: one is not passed on at its deadline while the process stops", RESPONSES, "return self._can_stream(attempt) and not is_small_response(response.content_length)", "return self._can_stream(attempt) and not is_small_response(response.content_length) and not self.pool.buffers_responses"),
    ("streamed responses: one unread at shutdown looks complete to an HTTP/1.0 client", PROCESS, "        for clients in self.client_groups:\n            clients.close()\n", ""),
    ("uploads: a partly read one is evicted without a response", SERVER, "        if self._parser.partial_request is not None and not self.ended:\n            self.reject(503, \"too many connections\")\n", ""),
    ("uploads: an unread end is not read at the time limit", SERVER, "if self.has_unread_request() and not self._timeout_deferred:", "if False:"),
    ("uploads: one that sends a few bytes at a time never times out", SERVER, "if self.has_unread_request() and not self._timeout_deferred:", "if self.has_unread_request():"),
    ("hand-over: the old process keeps its client connections open", SHUTDOWN, "clients.close_after_response = components.process_count > 1", "clients.close_after_response = False"),
    ("limits: each process uses its front's complete share", SHARED_STATE, "            components.lifecycle.set_process_share(process_share)\n", "            pass\n"),
    ("limits: a second process of a front starts with a full bucket", VOLUMES, "            self._first_change = ShareChange(now_us + SIBLING_DISCOVERY_US, share)\n            self._slack_ratio = 0.0\n", "            self._first_change = ShareChange(0, share)\n            self._slack_ratio = START_SLACK_RATIO\n"),
    ("limits: units above a reduced capacity are kept", "umberlead/scheduling/token_bucket.py", "self.available_units = min(self.available_units, self._fill_limit_units())", "pass"),
    ("limits: shares are not reduced when a front joins a volume", VOLUMES, "        if size.capacity_units < earlier_capacity_units:", "        if False:"),
    ("limits: a smaller number of fronts applies at once", VOLUMES, "            if now_us - self._lower_since_us < decrease_delay_us:", "            if False:"),
    ("limits: a further attempt is free whatever the first one's result", VOLUMES, "        pending.charged_attempt = None\n", "        pass\n"),
    ("limits: a volume is removed before its bucket is full", VOLUMES, "            and not volume.limit.wait_us(now_us, volume.limit.capacity_units)\n", ""),
    ("limits: siblings that can't be listed count as stopped", SHARED, "        with contextlib.suppress(OSError):\n            folder_mtime_ns", "        self.siblings, self._sibling_weights = [], []\n        with contextlib.suppress(OSError):\n            folder_mtime_ns"),
)  # fmt: skip

if __name__ == "__main__":
    sys.exit(planted.main())
