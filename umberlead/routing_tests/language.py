"""Parses a suite: one statement per line, and a closing line `end N`, as in a membership list.

The statements after a `scenario` line belong to that scenario, up to the next `scenario` line.
"""

from dataclasses import replace
from typing import Any

from lark import Token, Tree

from umberlead.membership.model import FilePosition, ListProblem
from umberlead.routing_tests.errors import SuiteError
from umberlead.routing_tests.grammar import (
    MAX_STATEMENT_COUNT,
    expand_foreach,
    parse_duration_us,
    parse_numbers,
    parse_ratio,
    parse_statement,
)
from umberlead.routing_tests.model import (
    Collection,
    Expectation,
    Fleet,
    Happening,
    Load,
    Scenario,
    Selector,
    Suite,
)

FORMAT = 1
FLEET_CHANGES = frozenset(
    (
        "surge",
        "costly",
        "neighbour",
        "lag",
        "deploy",
        "kill",
        "cut",
        "dark",
        "collector",
        "lists",
        "clock",
    )
)


class _Builder:
    """Builds a suite from its statements, in order; names must be defined before they are used."""

    def __init__(self, file: str) -> None:
        self.suite = Suite(file)
        self.problems: list[ListProblem] = []
        self.count = 0
        self.closed = False

    def add_problem(
        self, place: FilePosition, message: str, suggestion: str = "", code: str = "E101"
    ) -> None:
        """Records a problem at a position, with the nearest valid word as a suggestion."""
        self.problems.append(ListProblem(code, place, message, suggestion))

    @property
    def scenario(self) -> Scenario | None:
        """The current scenario, None before the first `scenario` statement."""
        return self.suite.scenarios[-1] if self.suite.scenarios else None

    def add_statement(self, tree: Tree[Token], place: FilePosition, text: str) -> None:
        """Adds one statement to the suite; an invalid statement is recorded as a problem."""
        kind = str(tree.data)
        if self.count == 1 and kind != "format":
            self.add_problem(place, f"the first statement must be 'format {FORMAT}'")
        words = tree.children
        if kind in ("load", "at", "expect", "fleet", "day") and self.scenario is None:
            self.add_problem(place, f"{kind} must come after a scenario statement")
        elif kind in ("config", "list", "collection", "group") and self.scenario is not None:
            self.add_problem(place, f"{kind} must come before the first scenario")
        else:
            try:
                getattr(self, f"on_{kind}")(words, place, text)
            except ValueError as error:
                self.add_problem(place, str(error))

    def on_format(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Checks the format number."""
        if int(words[0]) != FORMAT:
            raise SuiteError(f"format {words[0]} is unknown; this program reads format {FORMAT}")

    def on_config(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Sets the configuration file."""
        self.suite.config = (str(words[0]), place)

    def on_list(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Sets the list file."""
        self.suite.listed = (str(words[0]), place)

    def on_group(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds a group of servers."""
        name = f"@{str(words[0]).lstrip('@')}"
        if name in self.suite.groups:
            raise SuiteError(f"group {name} is given twice")
        self.suite.groups[name] = self.expand_groups(words[1:])

    def expand_groups(self, words: list[Any]) -> tuple[str, ...]:
        """Replaces each group by its members and drops duplicates."""
        members: dict[str, None] = {}
        for word in map(str, words):
            if word.startswith("@"):
                if word not in self.suite.groups:
                    raise SuiteError(f"there is no group {word}")
                members |= dict.fromkeys(self.suite.groups[word])
            else:
                members[word] = None
        return tuple(members)

    def on_collection(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds a collection."""
        name, plan, shards, volumes, hosts = words
        if str(name) in self.suite.collections:
            raise SuiteError(f"collection {name} is given twice")
        collection = Collection(
            str(name), str(plan), parse_numbers(shards), int(volumes or 1), int(hosts or 1)
        )
        if not collection.volumes or not collection.hosts:
            raise SuiteError("volumes and hosts must be at least 1")
        self.suite.collections[collection.name] = collection

    def on_scenario(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Starts a new scenario."""
        name = str(words[0])
        if any(s.name == name for s in self.suite.scenarios):
            raise SuiteError(f"scenario {name} is given twice")
        self.suite.scenarios.append(Scenario(name, place, int(words[1] or 1)))

    def on_fleet(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Sets the fleet of the current scenario."""
        assert self.scenario is not None
        scenario = self.scenario
        if scenario.fleet is not None:
            raise SuiteError("the scenario has a fleet already")
        if scenario.loads or scenario.happenings or scenario.expectations:
            raise SuiteError("fleet must be the first statement of its scenario")
        servers = int(words[0])
        fronts = int(words[1])
        rooms = int(words[2] or min(3, servers))
        if not (0 < servers <= 5000 and 0 < fronts <= 2000 and 0 < rooms <= servers):
            raise SuiteError(
                "a fleet has 1 to 5000 servers, 1 to 2000 fronts, and no more rooms than servers"
            )
        copies = int(words[3] or 1)
        if not 0 < copies <= rooms or servers % copies:
            raise SuiteError(
                "each copy of a shard needs its own room, and servers must be a multiple of copies"
            )
        scenario.fleet = Fleet(servers, fronts, rooms, copies=copies, place=place)

    def on_day(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Sets the length and load of the fleet's day."""
        assert self.scenario is not None
        fleet = self.scenario.fleet
        if fleet is None:
            raise SuiteError("day stands before any fleet")
        seconds = float(words[0])
        load = parse_ratio(words[1])
        excess = parse_ratio(words[2] or "100%")
        if not (0 < seconds <= 3600 and 0 < load <= 10):
            raise SuiteError("a day has up to 3600 seconds and a load above 0")
        retries = None if words[3] is None else int(words[3])
        self.scenario.fleet = replace(fleet, seconds=seconds, load=load, excess=excess, retries=retries)

    def on_load(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds a load to the current scenario."""
        if self.scenario is not None and self.scenario.fleet is not None:
            raise SuiteError("load is not allowed with a fleet: its load is set by day")
        name, class_name, rate, begin, end, units, new = words
        if str(name) not in self.suite.collections:
            raise SuiteError(f"there is no collection {name}")
        load = Load(
            str(name),
            str(class_name),
            float(rate),
            parse_duration_us(begin),
            parse_duration_us(end),
            float(units or 1),
            new is not None,
            place,
        )
        if load.end_us <= load.begin_us or not load.requests_per_second:
            raise SuiteError("the load is empty")
        if load.requests_per_second * (load.end_us - load.begin_us) / 1e6 > 1e6:
            raise SuiteError("the load has more than a million requests")
        assert self.scenario is not None
        self.scenario.loads.append(load)

    def on_at(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds a timed change to the current scenario."""
        at_us = parse_duration_us(words[0])
        tree = words[1]
        assert self.scenario is not None
        kind = str(tree.data)
        arguments = tree.children
        has_fleet = self.scenario.fleet is not None
        if kind in FLEET_CHANGES and not has_fleet:
            raise SuiteError(f"{kind} belongs in a scenario with a fleet")
        if kind == "newlist" and has_fleet:
            raise SuiteError("a fleet's lists are its own: it takes no list file")
        happening = Happening(at_us, kind, place=place)
        change = self._fleet_change if kind in FLEET_CHANGES else self._server_change
        happening = replace(happening, **change(kind, arguments))
        if kind not in ("newlist", "state", "deploy", "kill") and arguments[-1] is not None:
            happening = replace(happening, until_us=at_us + parse_duration_us(arguments[-1]))
        self.scenario.happenings.append(happening)

    def _server_change(self, kind: str, arguments: list[Any]) -> dict[str, Any]:
        """The `Happening` fields of a change that is allowed in every scenario."""
        if kind == "newlist":
            return {"kind": "list", "label": str(arguments[0])}
        if kind == "state":
            return {"kind": str(arguments[0]), "servers": self.expand_groups(arguments[1:])}
        if kind == "slow":
            return {"servers": self.expand_groups(arguments[1]), "value": float(arguments[0])}
        assert kind == "outcome", kind
        return {
            "servers": self.expand_groups(arguments[2]),
            "value": parse_ratio(arguments[1]),
            "label": str(arguments[0]),
        }

    def _fleet_change(self, kind: str, arguments: list[Any]) -> dict[str, Any]:
        """The `Happening` fields of a change that needs a fleet."""
        if kind in ("neighbour", "lag", "kill"):
            return self._fleet_server_change(kind, arguments)
        if kind == "surge":
            return {"value": parse_ratio(arguments[0])}
        if kind == "costly":
            return {
                "label": str(arguments[0]),
                "value": parse_ratio(arguments[1]),
                "parameters": (float(arguments[2]),),
            }
        if kind == "deploy":
            parameters = (
                parse_ratio(arguments[1]),
                parse_duration_us(arguments[2]),
                parse_duration_us(arguments[3]),
            )
            return {"value": parse_ratio(arguments[0]), "parameters": parameters}
        if kind in ("cut", "dark"):
            return {"value": int(arguments[0])}
        if kind == "lists":
            return {
                "label": str(arguments[0]),
                "value": parse_duration_us(arguments[1]) if len(arguments) == 3 else 0,
            }
        if kind == "clock":
            return {"value": parse_duration_us(arguments[1]) * (1 if arguments[0] == "ahead" else -1)}
        assert kind == "collector", kind
        return {}

    def _fleet_server_change(self, kind: str, arguments: list[Any]) -> dict[str, Any]:
        """The `Happening` fields of a change to some servers of a fleet."""
        if kind == "neighbour":
            return {"servers": self.expand_groups(arguments[1]), "value": parse_ratio(arguments[0])}
        if kind == "lag":
            parameters = (parse_duration_us(arguments[0]),)
            return {
                "servers": self.expand_groups(arguments[2]),
                "value": parse_ratio(arguments[1]),
                "parameters": parameters,
            }
        assert kind == "kill", kind
        return {"servers": self.expand_groups(arguments[0])}

    def on_expect(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds an expectation to the current scenario."""
        tree = words[0]
        kind = str(tree.data)
        arguments = tree.children
        assert self.scenario is not None

        def add(rule: str, selector: Selector, **fields: Any) -> None:
            assert self.scenario is not None
            expectation = Expectation(rule, selector, text=text.strip(), place=place, **fields)
            self.scenario.expectations.append(expectation)

        if kind == "service":
            if self.scenario.fleet is None:
                raise SuiteError("service belongs in a scenario with a fleet")
            add("service", Selector(), limit=parse_ratio(arguments[0]))
        elif kind == "routed":
            after_us = parse_duration_us(arguments[-1]) if arguments[-1] is not None else 0
            add(
                str(arguments[1]),
                arguments[0],
                servers=self.expand_groups(arguments[2:-1]),
                after_us=after_us,
            )
        elif kind == "attempts":
            add("attempts", arguments[0], limit=int(arguments[1]))
        elif kind == "once":
            add("once", arguments[0])
        elif kind == "within":
            add("within", arguments[0], limit=parse_duration_us(arguments[1]))
        elif kind == "prompt":
            add("prompt", arguments[0], limit=parse_duration_us(arguments[1]))
        elif kind == "ends":
            add(str(arguments[1]), arguments[0])
        elif kind == "share":
            add(
                "share",
                arguments[0],
                servers=self.expand_groups(arguments[1]),
                limit=parse_ratio(arguments[2]),
                tolerance=parse_ratio(arguments[3]),
            )
        elif len(arguments) == 1:
            add("may-once", arguments[0])
        elif arguments[1].type == "INT":
            add("may-attempts", arguments[0], limit=int(arguments[1]))
        else:
            add(f"may-{arguments[1]}", arguments[0], servers=self.expand_groups(arguments[2:]))

    def on_end(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Ends the suite and checks the statement count."""
        self.closed = True
        if int(words[0]) != self.count - 1:
            raise SuiteError(f"the closing line counts {words[0]} statements, the file has {self.count - 1}")


def parse(text: str, file: str) -> tuple[Suite, list[ListProblem]]:
    """Parses the text of a suite; returns the suite and all problems found.

    The count on the closing line counts a `foreach` line as one statement.
    """
    builder = _Builder(file)
    expanded_count = 0
    lines = text.split("\n")
    if lines.pop():
        builder.add_problem(
            FilePosition(file, len(lines) + 1),
            "the last line has no newline: the file may be half written",
            code="E103",
        )
    for number, raw_line in enumerate(lines, 1):
        statement = raw_line.split("#")[0]
        if not statement.strip():
            continue
        builder.count += 1
        place = FilePosition(file, number, len(raw_line) - len(raw_line.lstrip()) + 1)
        if builder.closed:
            builder.add_problem(place, "there is a statement after the closing line")
            continue
        try:
            for line in expand_foreach(statement):
                expanded_count += 1
                if expanded_count > MAX_STATEMENT_COUNT:
                    builder.add_problem(place, f"the suite has more than {MAX_STATEMENT_COUNT} statements")
                    return builder.suite, builder.problems
                parsed = parse_statement(line)
                if isinstance(parsed, tuple):
                    context = f" in {line.strip()!r}" if line != statement else ""
                    builder.add_problem(FilePosition(file, number, parsed[1]), parsed[2] + context, parsed[3])
                    break
                if str(parsed.data) == "scenario":
                    builder.on_scenario(parsed.children, place, line)
                else:
                    builder.add_statement(parsed, place, line)
        except ValueError as error:
            builder.add_problem(place, str(error))
    if not builder.closed:
        builder.add_problem(
            FilePosition(file, len(lines) + 1),
            "there is no closing line 'end N': the file may be half written",
            code="E102",
        )
    return builder.suite, builder.problems
