"""A session with the simulator: its scheduler instances, and the batches of events."""

import sys
import traceback
from typing import TextIO

from umberlead.configuration import parse_settings
from umberlead.scheduling.actions import Action
from umberlead.scheduling.events import Endpoint, Event
from umberlead.scheduling.scheduler import Scheduler
from umberlead.simulator_adapter.errors import SchedulerFailedError, SimulatorProtocolError
from umberlead.simulator_adapter.parsing import (
    ParsingContext,
    format_action,
    parse_event,
    parse_listed_endpoint,
    parse_setting_pairs,
)
from umberlead.simulator_adapter.wire_tables import NO_VALUE

PROTOCOL_ERROR_STATUS = 2  # exit status of the process


class LineReader:
    """Reads lines of the input, and counts them for error messages.

    Attributes:
        number: the number of the latest line, from 1.
    """

    def __init__(self, source: TextIO) -> None:
        """Read from `source`."""
        self.source = source
        self.number = 0

    def next_tokens(self) -> list[str] | None:
        """Return the next line's tokens, or None at the end of the input."""
        line = self.source.readline()
        if not line:
            return None
        self.number += 1
        return line.rstrip("\n").split(" ")


class AdapterSession:
    """The scheduler instances of one adapter process, and the endpoint lists that it received.

    Attributes:
        schedulers: the schedulers by instance.
        contexts: the state that lines for an instance refer to, by instance.
        endpoint_lists: endpoint lists by number; a list is replaced when its number is used again.
        now_us: the simulator's current time in microseconds.
    """

    def __init__(self) -> None:
        """Create a session without instances."""
        self.schedulers: dict[str, Scheduler] = {}
        self.contexts: dict[str, ParsingContext] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self.now_us = 0

    def start_instance(self, instance: str, tokens: list[str]) -> None:
        """Start an instance as told by the line `enlist SEED PATH=VALUE...`.

        Raises:
            ValueError: the settings are invalid.
            SimulatorProtocolError: a setting has no value.
        """
        pairs = parse_setting_pairs(tokens[2:])
        settings = parse_settings(pairs)
        names = pairs.get("loadReport.fields", "").split(",")
        load_report_fields = [name for name in names if name and name != NO_VALUE]
        self.contexts[instance] = ParsingContext(load_report_fields, self.endpoint_lists)
        self.schedulers[instance] = Scheduler(settings, int(tokens[1]), self.now_us)

    def run_scheduler(self, instance: str, events: list[Event]) -> list[Action]:
        """Pass events to an instance, and return its actions.

        Raises:
            SchedulerFailedError: the scheduler raised an exception.
        """
        try:
            return self.schedulers[instance].handle(self.now_us, events)
        except Exception as error:
            traceback.print_exc()
            text = f"{type(error).__name__}: {error}".replace("\n", " ")
            raise SchedulerFailedError(f"as {instance}\nbroken {text}") from error


class Batch:
    """One batch of the input: the events of each instance.

    Attributes:
        session: the session that the batch belongs to.
        reader: reads the lines.
        instance: the instance that the next lines are for; empty before the first `about`.
        events: the events by instance, in their order in the batch.
    """

    def __init__(self, session: AdapterSession, reader: LineReader) -> None:
        """Create an empty batch."""
        self.session = session
        self.reader = reader
        self.instance = ""
        self.events: dict[str, list[Event]] = {}

    def run(self, output: list[str]) -> None:
        """Read the batch to its end, and append the lines of each instance's actions to `output`.

        Raises:
            SimulatorProtocolError: the simulator violated the protocol.
            SchedulerFailedError: a scheduler raised an exception.
        """
        self._read()
        for instance, events in self.events.items():
            actions = self.session.run_scheduler(instance, events)
            if actions:
                output.append(f"as {instance}")
                output.extend(format_action(action) for action in actions)

    def _read(self) -> None:
        while True:
            tokens = self.reader.next_tokens()
            if tokens is None:
                raise SimulatorProtocolError("input ended inside a batch")
            match tokens[0]:
                case "eof_batch":
                    return
                case "manifest":
                    self._read_endpoint_list(tokens)
                case "about":
                    self.instance = tokens[1]
                case "enlist":
                    self._start_instance(tokens)
                case "shutdown":
                    self._stop_instance()
                case _:
                    self._add_event(tokens)

    def _read_endpoint_list(self, tokens: list[str]) -> None:
        """Read the line `manifest NUMBER COUNT` and the `item` lines of the list."""
        endpoints = []
        for _ in range(int(tokens[2])):
            line = self.reader.next_tokens()
            if line is None or line[0] != "item":
                raise SimulatorProtocolError("endpoint list has fewer items than its manifest line says")
            endpoints.append(parse_listed_endpoint(line))
        self.session.endpoint_lists[int(tokens[1])] = tuple(endpoints)

    def _start_instance(self, tokens: list[str]) -> None:
        if not self.instance:
            raise SimulatorProtocolError("enlist before any about")
        self.events.pop(self.instance, None)
        try:
            self.session.start_instance(self.instance, tokens)
        except ValueError as error:
            raise SimulatorProtocolError(str(error)) from None
        self.events[self.instance] = []

    def _stop_instance(self) -> None:
        if self.instance not in self.session.schedulers:
            raise SimulatorProtocolError(f"shutdown for unknown instance {self.instance or '(none)'}")
        self.events.pop(self.instance, None)
        del self.session.schedulers[self.instance]

    def _add_event(self, tokens: list[str]) -> None:
        if self.instance not in self.session.schedulers:
            name = self.instance or "(none)"
            raise SimulatorProtocolError(f"{tokens[0]} for an instance that was not enlisted: {name}")
        event = parse_event(tokens, self.session.contexts[self.instance])
        if event is not None:
            self.events.setdefault(self.instance, []).append(event)


def _run_batches(reader: LineReader, sink: TextIO) -> None:
    session = AdapterSession()
    while (tokens := reader.next_tokens()) is not None:
        if tokens == [""]:
            continue
        if tokens[0] != "sync" or len(tokens) != 3:
            raise SimulatorProtocolError(f"expected sync, found {tokens[0]}")
        session.now_us = int(tokens[1])
        output: list[str] = []
        try:
            Batch(session, reader).run(output)
        except SchedulerFailedError as error:
            output.append(str(error))
        output.append(f"ready {tokens[2]}")
        sink.write("\n".join(output) + "\n")
        sink.flush()


def run(source: TextIO, sink: TextIO) -> int:
    """Reply to batches until the input ends.

    Args:
        source: the simulator's lines are read from it.
        sink: the replies are written to it.

    Returns:
        The exit status of the process: 0, or 2 after an error, which is printed on standard error with the
        number of the line.
    """
    reader = LineReader(source)
    try:
        _run_batches(reader, sink)
    except SimulatorProtocolError as error:
        print(f"line {reader.number}: {error}", file=sys.stderr)
        return PROTOCOL_ERROR_STATUS
    except (IndexError, ValueError, KeyError) as error:
        print(f"line {reader.number}: malformed ({type(error).__name__}: {error})", file=sys.stderr)
        return PROTOCOL_ERROR_STATUS
    return 0
