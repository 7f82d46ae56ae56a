"""Plants mistakes in what rare moments were mended with, each undoing one mend, and sees whether tests catch it.

`make planted-moments`; the way of working is that of planted.py."""

import sys

from tests import planted

CLIENTS, SERVER = "umberlead/net/client_connections.py", "umberlead/net/server_connection.py"
LIFECYCLE, SCHEDULER = "umberlead/requests/lifecycle.py", "umberlead/scheduling/scheduler.py"
NODE, PARSER = "umberlead/net/endpoint_connection.py", "umberlead/net/response_parser.py"
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
)
planted.PLANTED = (  # type: ignore[assignment]
    ("shutdown: what is half read at the end is left open", SERVER, "if partial and self.active_request is None and not self.ended:\n            self.reject(503", "if False:\n            self.reject(503"),
    ("shutdown: what waits behind an answer at the end is taken", CLIENTS, "        self.rejecting = self.close_after_response = True\n", "        self.close_after_response = True\n"),
    ("shutdown: what was never sent counts as doubtful", LIFECYCLE, "        unsent = attempt is None or (self.transport is not None and self.transport.cancel_if_unsent(attempt))\n", "        unsent = attempt is None\n"),
    ("shutdown: a start that was told to stop listens", PROCESS, "if self.shutdown.stop_requested:  # before any client was accepted", "if False:"),
    ("shutdown: SIGTERM during a start ends it with a signal", START, "    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))\n", ""),
    ("shutdown: SIGHUP during a start is lost", PROCESS, "        if self._early_reload_signals:", "        if False:"),
    ("shutdown: requests sent ahead are dropped", SERVER, "if self._closes_with_this_response() and not (self.has_more_input() or self.has_unread_request()):", "if self._closes_with_this_response():"),
    ("shutdown: what is half read behind another is left open", SERVER, "        if self.clients.rejecting:\n            self.begin_shutdown()\n", "        if False:\n            self.begin_shutdown()\n"),
    ("bad clients: what is sent ahead has no bound", INPUT, "        if self.clients.buffered_bytes > self.clients.buffer_limit_bytes:\n            self.clients.counters.add(\"bodies_over_memory\")\n            self._pending_input.discard_unparsed()", "        if False:\n            self._pending_input.discard_unparsed()"),
    ("idle closing: a request that is here goes with its connection", SERVER, "if self.is_idle() and not self.has_unread_request():", "if self.is_idle():"),
    ("idle closing: room is made of one whose request is here", CLIENTS, "            if victim.has_unread_request():", "            if False:"),
    ("bad clients: what came before the noise is dropped", INPUT, "self._rejection = RequestRejection(status, reason, rejected_target)", "self.ended = self.close_after_response = True"),
    ("client gone: unseen where reading is paused", CLIENTS, "if conn.is_reading_paused() and conn.pending_events() & DISCONNECT_POLL_EVENTS:", "if False:"),
    ("client gone: what waits behind is kept", SERVER, "        self._rejection = None\n        self._pending_input.discard_all()\n", "        self._rejection = None\n"),
    ("client gone: a dial goes on", LIFECYCLE, "            self.transport.cancel_if_unsent(request.attempt)\n        self._post(ClientDisconnected", "            pass\n        self._post(ClientDisconnected"),
    ("client gone: a dial given up counts against the node", NODE, "                reason if self.written or reason is AttemptResult.NOT_SENT else AttemptResult.CONNECT_FAILED\n", "                reason if self.written else AttemptResult.CONNECT_FAILED\n"),
    ("client gone: blocks that were not begun are begun", BLOCKS, "        if request.client_has_left:\n", "        if False:\n"),
    ("client gone: a block that waits is sent", OBJECTS, "                self.lifecycle.abandon(in_flight)\n", "                pass\n"),
    ("client gone: not looked for as an attempt is decided", GUARD, "return None if self._is_client_connected(request) else Denial.CLIENT_LEFT", "return None"),
    ("client gone: not looked for as its connection is up", GUARD, "        return self._request_denial(attempt.request)\n", "        return None\n"),
    ("client gone: the rest of a request follows in that turn", NODE, "if self.write_paused and not self.written and self.is_open():", "if False:"),
    ("client gone: what was decided with it has no outcome", "umberlead/requests/decision_loop.py", "for action, request in [(action, self._request_of(action)) for action in actions]:", "for action, request in ((action, self._request_of(action)) for action in actions):"),
    ("client gone: what it stood before waits on", SCHEDULER, "            self._shards_to_dispatch[pending.shard] = None  # the next request of the queue may be sent\n", ""),
    ("client gone: a limit is charged for what was not sent", VOLUMES, "self[pending.request.volume].limit.return_units(pending.request.units)", "pass"),
    ("hand-over of news: a draining server gets what was dialled", GUARD, "if not self._accepts_new_requests(attempt.endpoint):", "if False:"),
    ("watches: what a reload leaves is not read", WATCH, "            if stream is not None:\n                stream.read_unread_bytes()\n", "            if False:\n                stream.read_unread_bytes()\n"),
    ("watches: what came is not read before one is silent", WATCH, "            stream.read_unread_bytes()\n            if stream.ended or", "            if stream.ended or"),
    ("retries: a reset with the last bytes is an end", NODE, "if self.response.framed or self._socket_state().was_reset():", "if self.response.framed:"),
    ("pipelining: eight commands of a read are answered", INPUT, "MAX_PIPELINED_REQUESTS = 256", "MAX_PIPELINED_REQUESTS = 8"),
    ("pipelining: the time of one that waits runs from its turn", "umberlead/net/request_parser.py", "request.received_us = self._received_us", "request.received_us = self._clients.clock()"),
    ("watches: an indented list is none", WATCHED, "        if self.brace_depth > 0:\n            return\n", ""),
    ("watches: a list waits for its line's end", WATCHED, "        if self.partial_line.endswith(b\"}\"):", "        if False:"),
    ("watches: what can't be read is passed over", WATCHED, "        if not self.watch.apply_line(self, object_text):", "        if not self.watch.apply_line(self, object_text) and False:"),
    ("watches: an object that breaks off is waited for", WATCHED, "            if self.brace_depth:\n                self.end", "            if False:\n                self.end"),
    ("watches: a call that hangs stands for the whole silence", WATCHING, "        return AGENT_RESPONSE_TIMEOUT_US\n", "        return SERVICE_RESPONSE_TIMEOUT_US\n"),
    ("watches: one's own agent is spared for the fleet", WATCHING, "        if self.is_agent or (self.is_agent is None and hung):\n", "        if False:\n"),
    ("watches: a service that says no is called as an agent", WATCHING, "            self.is_agent = False\n", "            pass\n"),
    ("watches: silence without a word is taken for a queue", WATCHING, "        if self.is_agent is None and not call.answered:\n", "        if False:\n"),
    ("watches: silent ones are opened over the whole spread", WATCHING, "since_us = call.last_activity_us if silent else", "since_us = now_us if silent else"),
    ("watches: what a call has hung is no part of the bound", WATCHING, "remaining_us = since_us + MAX_CALL_GAP_US - now_us", "remaining_us = MAX_CALL_GAP_US"),
    ("watches: a Retry-After is kept past the bound", "umberlead/recovery/backoff.py", "max(delay_us, min(retry_after_us, remaining_us))", "max(delay_us, retry_after_us)"),
    ("watches: a call given up is not listened to", WATCH, "elif self.late_stream is None and self.pacing.is_still_read(stream.call, now_us):", "elif False:"),
    ("watches: requests are taken before the list is here", PROCESS, "if self.discovery_watch is None or not self.discovery_watch.expects_agent:", "if True:"),
    ("retries: an interim answer begins the stall", PARSER, "self.started = False  # the final response", "pass  # the final response"),
    ("long answers: one that moves is cut off at its request's time", STREAM, "        if due_us <= now_us:\n            self.abort()", "        if min(due_us, due_us if self.paused else self.deadline_us) <= now_us:\n            self.abort()"),
    ("long answers: a small one that stopped is waited for", STREAM, "due_us = min(due_us, max(response.last_received_us + SERVER_PAUSE_TIMEOUT_US, self.deadline_us))", "pass"),
    ("long answers: a flood has no end", STREAM, "elif exceeds_stream_limit(self.forwarded_bytes):", "elif False:"),
    ("long answers: none gives way at nodes", POOL, "            min(overdue)[2].evict()\n", "            return False\n"),
    ("long answers: a lower cap ends all connections at rest", POOL, "        for _ in range(len(self.slots) - self.max_connections):  # slots are freed one iteration later\n", "        while len(self.slots) > self.max_connections:\n"),
    ("long answers: none gives its client's place", CLIENTS, "        if not overdue:\n            return False\n", "        return False\n"),
    ("long answers: to a client of HTTP/1.0 one that broke off looks whole", SERVER, "if not (self.chunked or self.response_length or self.transport.is_closing()):", "if False:"),
    ("long answers: a write's is cut off where its server pauses", NODE, "wait_us = max(wait_us, SERVER_PAUSE_TIMEOUT_US)", "pass"),
    ("long answers: a read's last try is cut off where its server pauses", LIFECYCLE, "must_not_repeat = is_last or ", "must_not_repeat = "),
    ("long answers: a server may pause for half a second only", STREAM, "SERVER_PAUSE_TIMEOUT_US = 650_000", "SERVER_PAUSE_TIMEOUT_US = 500_000"),
    ("long answers: to a client of HTTP/1.0 one unread at the end looks whole", PROCESS, "        for clients in self.client_groups:\n            clients.close()\n", ""),
    ("uploads: what is half read is closed on as its place goes", SERVER, "        if self._parser.partial_request is not None and not self.ended:\n            self.reject(503, \"too many connections\")\n", ""),
    ("uploads: the end that is here as its time is over is not read", SERVER, "if self.has_unread_request() and not self._timeout_deferred:", "if False:"),
    ("uploads: one that trickles never ends", SERVER, "if self.has_unread_request() and not self._timeout_deferred:", "if self.has_unread_request():"),
    ("hand-over: the old process keeps connections for the new one's clients", SHUTDOWN, "clients.close_after_response = components.process_count > 1", "clients.close_after_response = False"),
    ("limits: each process has its front's whole part", SHARED_STATE, "            components.lifecycle.set_process_share(process_share)\n", "            pass\n"),
    ("limits: a process that stands beside another begins full", VOLUMES, "            self._first_change = ShareChange(now_us + SIBLING_DISCOVERY_US, share)\n            self._slack_ratio = 0.0\n", "            self._first_change = ShareChange(0, share)\n            self._slack_ratio = START_SLACK_RATIO\n"),
    ("limits: what is left above a smaller part is kept", "umberlead/scheduling/token_bucket.py", "self.available_units = min(self.available_units, capacity_units)", "pass"),
    ("limits: a front that joins a volume is not made room for", VOLUMES, "        if size.capacity_units < earlier_capacity_units:", "        if False:"),
    ("limits: fewer fronts hold at once", VOLUMES, "            if now_us - self._lower_since_us < decrease_delay_us:", "            if False:"),
    ("limits: a further attempt is free whatever came of the first", VOLUMES, "        pending.charged_attempt = None\n", "        pass\n"),
    ("limits: a volume is forgotten before its store is full", VOLUMES, "            and not volume.limit.wait_us(now_us, volume.limit.capacity_units)\n", ""),
    ("limits: a process that can't be seen is gone", SHARED, "        with contextlib.suppress(OSError):\n            folder_mtime_ns", "        self.siblings, self._sibling_weights = [], []\n        with contextlib.suppress(OSError):\n            folder_mtime_ns"),
)  # fmt: skip

if __name__ == "__main__":
    sys.exit(planted.main())
