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
FLEET_ONLY = frozenset(
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

    def bad(self, place: FilePosition, why: str, near: str = "", code: str = "E101") -> None:
        """Adds a problem."""
        self.problems.append(ListProblem(code, place, why, near))

    @property
    def scenario(self) -> Scenario | None:
        """The scenario that statements belong to now."""
        return self.suite.scenarios[-1] if self.suite.scenarios else None

    def take(self, got: Tree[Token], place: FilePosition, text: str) -> None:
        """Adds one statement to the suite; an invalid statement is recorded as a problem."""
        kind = str(got.data)
        if self.count == 1 and kind != "format":
            self.bad(place, f"the first statement must be 'format {FORMAT}'")
        words = got.children
        if kind in ("load", "at", "expect", "fleet", "day") and self.scenario is None:
            self.bad(place, f"{kind} must come after a scenario statement")
        elif kind in ("config", "list", "collection", "group") and self.scenario is not None:
            self.bad(place, f"{kind} must come before the first scenario")
        else:
            try:
                getattr(self, f"on_{kind}")(words, place, text)
            except ValueError as error:
                self.bad(place, str(error))

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
        self.suite.groups[name] = self.names(words[1:])

    def names(self, words: list[Any]) -> tuple[str, ...]:
        """Replaces each group by its members and drops duplicates."""
        made: dict[str, None] = {}
        for word in map(str, words):
            if word.startswith("@"):
                if word not in self.suite.groups:
                    raise SuiteError(f"there is no group {word}")
                made |= dict.fromkeys(self.suite.groups[word])
            else:
                made[word] = None
        return tuple(made)

    def on_collection(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds a collection."""
        name, plan, shards, volumes, hosts = words
        if str(name) in self.suite.collections:
            raise SuiteError(f"collection {name} is given twice")
        made = Collection(str(name), str(plan), parse_numbers(shards), int(volumes or 1), int(hosts or 1))
        if not made.volumes or not made.hosts:
            raise SuiteError("volumes and hosts must be at least 1")
        self.suite.collections[made.name] = made

    def on_scenario(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Starts a new scenario."""
        name = str(words[0])
        if any(s.name == name for s in self.suite.scenarios):
            raise SuiteError(f"scenario {name} is given twice")
        self.suite.scenarios.append(Scenario(name, place, int(words[1] or 1)))

    def on_fleet(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Sets the fleet of the current scenario."""
        assert self.scenario is not None
        of = self.scenario
        if of.fleet is not None:
            raise SuiteError("the scenario has a fleet already")
        if of.loads or of.happenings or of.expectations:
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
            raise SuiteError("copies must not exceed the rooms, and servers must be a multiple of copies")
        of.fleet = Fleet(servers, fronts, rooms, copies=copies, place=place)

    def on_day(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Sets the length and load of the fleet's day."""
        assert self.scenario is not None
        of = self.scenario.fleet
        if of is None:
            raise SuiteError("day stands before any fleet")
        seconds = float(words[0])
        load = parse_ratio(words[1])
        excess = parse_ratio(words[2] or "100%")
        if not (0 < seconds <= 3600 and 0 < load <= 10):
            raise SuiteError("a day has up to 3600 seconds and a load above 0")
        retries = None if words[3] is None else int(words[3])
        self.scenario.fleet = replace(of, seconds=seconds, load=load, excess=excess, retries=retries)

    def on_load(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds a load to the current scenario."""
        if self.scenario is not None and self.scenario.fleet is not None:
            raise SuiteError("load is not allowed with a fleet: its load is set by day")
        name, cls, rate, begin, end, units, new = words
        if str(name) not in self.suite.collections:
            raise SuiteError(f"there is no collection {name}")
        made = Load(
            str(name),
            str(cls),
            float(rate),
            parse_duration_us(begin),
            parse_duration_us(end),
            float(units or 1),
            new is not None,
            place,
        )
        if made.end_us <= made.begin_us or not made.requests_per_second:
            raise SuiteError("the load is empty")
        if made.requests_per_second * (made.end_us - made.begin_us) / 1e6 > 1e6:
            raise SuiteError("the load has more than a million requests")
        assert self.scenario is not None
        self.scenario.loads.append(made)

    def on_at(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds a change at a time to the current scenario."""
        when = parse_duration_us(words[0])
        tree = words[1]
        assert self.scenario is not None
        kind = str(tree.data)
        of = tree.children
        fleet = self.scenario.fleet is not None
        if kind in FLEET_ONLY and not fleet:
            raise SuiteError(f"{kind} belongs in a scenario with a fleet")
        if kind == "newlist" and fleet:
            raise SuiteError("a fleet's lists are its own: it takes no list file")
        made = Happening(when, kind, place=place)
        change = self._fleet_change if kind in FLEET_ONLY else self._server_change
        made = replace(made, **change(kind, of))
        if kind not in ("newlist", "state", "deploy", "kill") and of[-1] is not None:
            made = replace(made, until_us=when + parse_duration_us(of[-1]))
        self.scenario.happenings.append(made)

    def _server_change(self, kind: str, of: list[Any]) -> dict[str, Any]:
        """The `Happening` fields of a change that is allowed in every scenario."""
        if kind == "newlist":
            return {"kind": "list", "label": str(of[0])}
        if kind == "state":
            return {"kind": str(of[0]), "servers": self.names(of[1:])}
        if kind == "slow":
            return {"servers": self.names(of[1]), "value": float(of[0])}
        assert kind == "outcome", kind
        return {"servers": self.names(of[2]), "value": parse_ratio(of[1]), "label": str(of[0])}

    def _fleet_change(self, kind: str, of: list[Any]) -> dict[str, Any]:
        """The `Happening` fields of a change that needs a fleet."""
        if kind in ("neighbour", "lag", "kill"):
            return self._fleet_server_change(kind, of)
        if kind == "surge":
            return {"value": parse_ratio(of[0])}
        if kind == "costly":
            return {"label": str(of[0]), "value": parse_ratio(of[1]), "parameters": (float(of[2]),)}
        if kind == "deploy":
            more = (parse_ratio(of[1]), parse_duration_us(of[2]), parse_duration_us(of[3]))
            return {"value": parse_ratio(of[0]), "parameters": more}
        if kind in ("cut", "dark"):
            return {"value": int(of[0])}
        if kind == "lists":
            return {"label": str(of[0]), "value": parse_duration_us(of[1]) if len(of) == 3 else 0}
        if kind == "clock":
            return {"value": parse_duration_us(of[1]) * (1 if of[0] == "ahead" else -1)}
        assert kind == "collector", kind
        return {}

    def _fleet_server_change(self, kind: str, of: list[Any]) -> dict[str, Any]:
        """The `Happening` fields of a change to some servers of a fleet."""
        if kind == "neighbour":
            return {"servers": self.names(of[1]), "value": parse_ratio(of[0])}
        if kind == "lag":
            more = (parse_duration_us(of[0]),)
            return {"servers": self.names(of[2]), "value": parse_ratio(of[1]), "parameters": more}
        assert kind == "kill", kind
        return {"servers": self.names(of[0])}

    def on_expect(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Adds an expectation to the current scenario."""
        tree = words[0]
        kind = str(tree.data)
        of = tree.children
        assert self.scenario is not None

        def add(rule: str, selector: Selector, **more: Any) -> None:
            assert self.scenario is not None
            made = Expectation(rule, selector, text=text.strip(), place=place, **more)
            self.scenario.expectations.append(made)

        if kind == "service":
            if self.scenario.fleet is None:
                raise SuiteError("service belongs in a scenario with a fleet")
            add("service", Selector(), limit=parse_ratio(of[0]))
        elif kind == "routed":
            after = parse_duration_us(of[-1]) if of[-1] is not None else 0
            add(str(of[1]), of[0], servers=self.names(of[2:-1]), after_us=after)
        elif kind == "attempts":
            add("attempts", of[0], limit=int(of[1]))
        elif kind == "once":
            add("once", of[0])
        elif kind == "within":
            add("within", of[0], limit=parse_duration_us(of[1]))
        elif kind == "prompt":
            add("prompt", of[0], limit=parse_duration_us(of[1]))
        elif kind == "ends":
            add(str(of[1]), of[0])
        elif kind == "share":
            add(
                "share",
                of[0],
                servers=self.names(of[1]),
                limit=parse_ratio(of[2]),
                tolerance=parse_ratio(of[3]),
            )
        elif len(of) == 1:
            add("may-once", of[0])
        elif of[1].type == "INT":
            add("may-attempts", of[0], limit=int(of[1]))
        else:
            add(f"may-{of[1]}", of[0], servers=self.names(of[2:]))

    def on_end(self, words: list[Any], place: FilePosition, text: str) -> None:
        """Ends the suite and checks the statement count."""
        self.closed = True
        if int(words[0]) != self.count - 1:
            raise SuiteError(f"the closing line counts {words[0]} statements, the file has {self.count - 1}")


def parse(text: str, file: str) -> tuple[Suite, list[ListProblem]]:
    """Parses the text of a suite; returns the suite and all problems found.

    The count on the closing line counts a `foreach` line as one statement.
    """
    of = _Builder(file)
    total = 0
    lines = text.split("\n")
    if lines.pop():
        of.bad(
            FilePosition(file, len(lines) + 1),
            "the last line has no newline: the file may be half written",
            code="E103",
        )
    for number, row in enumerate(lines, 1):
        plain = row.split("#")[0]
        if not plain.strip():
            continue
        of.count += 1
        place = FilePosition(file, number, len(row) - len(row.lstrip()) + 1)
        if of.closed:
            of.bad(place, "there is a statement after the closing line")
            continue
        try:
            for line in expand_foreach(plain):
                total += 1
                if total > MAX_STATEMENT_COUNT:
                    of.bad(place, f"the suite has more than {MAX_STATEMENT_COUNT} statements")
                    return of.suite, of.problems
                got = parse_statement(line)
                if isinstance(got, tuple):
                    where = f" in {line.strip()!r}" if line != plain else ""
                    of.bad(FilePosition(file, number, got[1]), got[2] + where, got[3])
                    break
                if str(got.data) == "scenario":
                    of.on_scenario(got.children, place, line)
                else:
                    of.take(got, place, line)
        except ValueError as error:
            of.bad(place, str(error))
    if not of.closed:
        of.bad(
            FilePosition(file, len(lines) + 1),
            "there is no closing line 'end N': the file may be half written",
            code="E102",
        )
    return of.suite, of.problems
