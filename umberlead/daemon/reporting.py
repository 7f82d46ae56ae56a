"""Logs the state of a process: its counters, limits, start and unexpected errors."""

import os
import time
import traceback
from typing import Any

from umberlead.common.supervision import describe_error
from umberlead.daemon.assembly import ProcessComponents
from umberlead.daemon.resource_gauges import LoopLateness, read_gauges
from umberlead.daemon.start_stages import StartStages
from umberlead.resource_limits import granted_descriptors

REPORT_INTERVAL_US = 10_000_000  # between two lines with the counters
SWEEP_INTERVAL_US = 100_000  # between two rounds of the periodic work


class Reporting:
    """Logs the counters, the limits, the end of the start and unhandled errors.

    Attributes:
        sweep_lateness: how late the periodic work ran.
    """

    def __init__(self, components: ProcessComponents) -> None:
        """Log nothing yet."""
        self._components = components
        self.sweep_lateness = LoopLateness(SWEEP_INTERVAL_US)

    def log_counters(self) -> None:
        """Log all counters and gauges (SIGUSR1)."""
        components = self._components
        components.log.info(
            "counters",
            open=len(components.lifecycle.open_requests),
            **read_gauges(components),
            loop_late_us=self.sweep_lateness.take_worst_us(),
            **components.counters.report(),
        )

    def log_limits(self) -> None:
        """Log the resources that the process may use and the connection limits derived from them."""
        components = self._components
        components.log.info(
            "limits",
            cores=components.config.cores,
            memory_mb=components.config.memory_limit_bytes >> 20,
            descriptors=granted_descriptors(components.config.max_descriptors),
            nodes=components.pool.max_connections,
            clients=sum(clients.max_connections for clients in components.client_groups),
        )

    def log_start(self, stages: StartStages) -> None:
        """Log that the start has ended, with its CPU time and the duration of each stage in microseconds."""
        self._components.log.info("started", cpu=time.process_time_ns() // 1000, **stages.durations_us())

    def log_unexpected_error(self, context: dict[str, Any]) -> None:
        """Log an unhandled exception; this is the exception handler of the event loop."""
        self._components.counters.add("unexpected_errors")
        error = context.get("exception")
        self._components.error_log(
            "unexpected_error",
            what=str(context.get("message")),
            why=describe_error(error) if error is not None else "",
            pid=os.getpid(),
            trace="".join(traceback.format_exception(error)) if error is not None else "",
        )
