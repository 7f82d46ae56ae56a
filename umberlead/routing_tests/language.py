"""The suite's language: one statement a line, on the lists' parser library and with their closing line.

`foreach x in a b 0..3 : STATEMENT` stands for one STATEMENT a value, with `{x}` in it replaced; several may
be nested. What stands behind `scenario` belongs to it, up to the next one."""

import re
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from lark import Lark, Token, Transformer, Tree
from lark.exceptions import UnexpectedInput, VisitError

from umberlead.membership.grammar import (
    TERMINAL_DESCRIPTIONS,
    InvalidValueError,
    describe_syntax_error,
    keyword_by_terminal,
)
from umberlead.membership.model import FilePosition, ListProblem
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
LINES_MOST = 20_000  # statements of a suite, foreach written out: a suite that explodes is an error
DEPTH_MOST = 3

GRAMMAR = r"""
start: statement?
?statement: format | config | list | group | collection | scenario | fleet | day | load | at | expect | end
format: "format" INT
config: "config" PATH
list: "list" PATH
group: "group" NAME NAME+
collection: "collection" NAME "plan" NAME "shards" NUMBERS ["volumes" INT] ["hosts" INT]
scenario: "scenario" NAME ["seed" INT]
fleet: "fleet" "servers" INT "fronts" INT ["rooms" INT] ["copies" INT]
day: "day" "seconds" DECIMAL "load" PERCENT ["excess" PERCENT] ["retries" INT]
load: "load" NAME "class" NAME "rate" DECIMAL "from" TIME "to" TIME ["units" DECIMAL] [NEW]
at: "at" TIME happening
?happening: state | slow | outcome | newlist | surge | costly | neighbour | lag | deploy | kill | cut | dark
    | collector | lists | clock
state: (DRAIN | BACK | LEAVE | OUT | IN | COLD) NAME+
slow: "slow" DECIMAL servers ["for" TIME]
outcome: "outcome" RESULT "part" PERCENT servers ["for" TIME]
surge: "surge" PERCENT "for" TIME
costly: "costly" NAME "part" PERCENT "times" DECIMAL "for" TIME
neighbour: "neighbour" PERCENT servers "for" TIME
lag: "lag" TIME "part" PERCENT servers "for" TIME
deploy: "deploy" PERCENT "batch" PERCENT "drain" TIME "over" TIME
kill: "kill" servers
cut: "cut" "room" INT "for" TIME
dark: "dark" "room" INT "for" TIME
collector: "collector" "stops" "for" TIME
lists: "lists" (LATE TIME | SHUFFLED) "for" TIME
clock: "clock" (AHEAD | BEHIND) TIME "for" TIME
newlist: "list" PATH
expect: "expect" rule
?rule: service | routed | attempts | once | within | ends | prompt | share | may
service: "service" "at-least" PERCENT
routed: selector (ONLY | NEVER) NAME+ ["after" TIME]
attempts: selector "attempts" "at-most" INT
once: selector "sent" "once"
within: selector "answered" "within" TIME
ends: selector (SERVED | REFUSED | ANSWERED_ONCE)
prompt: selector "refused" "within" TIME
share: "share" selector "at" servers "is" PERCENT "within" PERCENT
may: "may" selector (ONLY NAME+ | NEVER NAME+ | "attempts" "at-most" INT | "sent" "once")
servers: NAME+
selector: part*
?part: class | plan | of | shard | new | since | until
class: "class" NAME
plan: "plan" NAME
of: "collection" NAME
shard: "shard" INT
new: NEW
since: "from" TIME
until: "to" TIME
end: "end" INT

ONLY: "only"
NEVER: "never"
NEW: "new"
SERVED: "served"
REFUSED: "refused"
ANSWERED_ONCE: "answered-once"
DRAIN: "drain"
BACK: "back"
LEAVE: "leave"
OUT: "out"
IN: "in"
COLD: "cold"
LATE: "late"
SHUFFLED: "shuffled"
AHEAD: "ahead"
BEHIND: "behind"
RESULT: "error" | "full" | "timeout" | "no-link" | "reset" | "astray" | "half" | "spoilt" | "surplus"
    | "early" | "silence"
INT: /[0-9]{1,9}(?![^\s#])/
DECIMAL: /[0-9]{1,9}(\.[0-9]{1,6})?(?![^\s#])/
PERCENT: /[0-9]{1,4}(\.[0-9]{1,4})?%(?![^\s#])/
TIME: /[0-9]{1,7}(\.[0-9]{1,3})?(ms|s)(?![^\s#])/
NUMBERS: /[0-9]{1,7}(\.\.[0-9]{1,7})?(,[0-9]{1,7}(\.\.[0-9]{1,7})?)*(?![^\s#])/
NAME: /[A-Za-z0-9@][A-Za-z0-9@._-]{0,127}(?![^\s#])/
PATH: /[^\s#]{1,1024}/
COMMENT: /#[^\n]*/
%ignore COMMENT
%ignore /[ \t]+/
"""
TERMINAL_DESCRIPTIONS |= {
    "DECIMAL": "a number",
    "PERCENT": "a share such as 25%",
    "TIME": "a time such as 300ms or 2.5s",
    "NUMBERS": "shards such as 0..3,7",
    "RESULT": "an outcome",
}
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
FOREACH = re.compile(r"\s*foreach\s+([a-z][a-z0-9_]*)\s+in\s+([^:#]+?)\s*:\s*(.*)")
RANGE = re.compile(r"([0-9]{1,7})\.\.([0-9]{1,7})")


def micros(text: str) -> int:
    number, unit = re.fullmatch(r"([0-9.]+)(ms|s)", text).groups()  # type: ignore[union-attr]
    return round(float(number) * (1000 if unit == "ms" else 1_000_000))


def part_of(text: str) -> float:
    return float(text.rstrip("%")) / 100


def numbers(text: str) -> tuple[int, ...]:
    made: dict[int, None] = {}
    for piece in text.split(","):
        low, _, high = piece.partition("..")
        if int(high or low) - int(low) > LINES_MOST:
            raise ValueError(f"{piece} is too long a range")
        made |= dict.fromkeys(range(int(low), int(high or low) + 1))
    return tuple(made)


class _Read(Transformer[Token, Any]):
    def start(self, got: list[Any]) -> Any:
        return got[0] if got else None

    def selector(self, got: list[Any]) -> Selector:
        found: dict[str, Any] = {}
        for key, value, token in got:
            if key in found:
                raise InvalidValueError(token, f"{key} is given twice")
            found[key] = value
        return Selector(**found)

    def _one(key: str, of: Any = str) -> Any:  # type: ignore[misc]
        def read(self: Any, got: list[Token]) -> tuple[str, Any, Token]:
            return key, of(got[0]), got[0]

        return read

    plan = _one("plan")
    of = _one("collection")
    shard = _one("shard", int)
    new = _one("new", lambda _: True)
    since = _one("begin", micros)
    until = _one("end", micros)

    def servers(self, got: list[Token]) -> list[Token]:
        return got


setattr(_Read, "class", _Read._one("class_name"))  # a keyword here, a word of the language there
_parser = Lark(GRAMMAR, parser="lalr", lexer="contextual", maybe_placeholders=True)
_read = _Read()
_keywords = keyword_by_terminal(_parser)


def _parsed(text: str) -> Any:
    """A line's tree, None where it is empty; ("!", column, why, near) where it can't be read."""
    try:
        return _read.transform(_parser.parse(text))
    except UnexpectedInput as fault:
        return ("!", *describe_syntax_error(text, fault, _keywords))
    except VisitError as fault:
        if isinstance(fault.orig_exc, InvalidValueError):
            return "!", fault.orig_exc.column, fault.orig_exc.reason, ""
        raise


def spread(text: str, depth: int = 0) -> Iterator[str]:
    """The lines that a line with `foreach` stands for; ValueError where it asks for too much."""
    found = FOREACH.fullmatch(text)
    if found is None:
        yield text
        return
    if depth >= DEPTH_MOST:
        raise ValueError(f"foreach stands more than {DEPTH_MOST} deep")
    name, values, rest = found.groups()
    made: list[str] = []
    for value in values.split():
        match = RANGE.fullmatch(value)
        if match is None:
            made.append(value)
            continue
        low, high = int(match[1]), int(match[2])
        if high - low > LINES_MOST:
            raise ValueError(f"{value} stands for more than {LINES_MOST} values")
        made += map(str, range(low, high + 1))
    for value in made:
        yield from spread(rest.replace("{" + name + "}", value), depth + 1)


class _Builder:
    """Statements to a suite, names looked up as they come."""

    def __init__(self, file: str) -> None:
        self.suite, self.problems = Suite(file), list[ListProblem]()
        self.count = 0
        self.closed = False

    def bad(self, place: FilePosition, why: str, near: str = "", code: str = "E101") -> None:
        self.problems.append(ListProblem(code, place, why, near))

    @property
    def scenario(self) -> Scenario | None:
        return self.suite.scenarios[-1] if self.suite.scenarios else None

    def take(self, got: Tree[Token], place: FilePosition, text: str) -> None:
        kind = str(got.data)
        if self.count == 1 and kind != "format":
            self.bad(place, f"the first statement must be 'format {FORMAT}'")
        words = got.children
        if kind in ("load", "at", "expect", "fleet", "day") and self.scenario is None:
            self.bad(place, f"{kind} stands before any scenario")
        elif kind in ("config", "list", "collection", "group") and self.scenario is not None:
            self.bad(place, f"{kind} belongs before the first scenario")
        else:
            try:
                getattr(self, f"on_{kind}")(words, place, text)
            except ValueError as fault:
                self.bad(place, str(fault))

    def on_format(self, words: list[Any], place: FilePosition, text: str) -> None:
        if int(words[0]) != FORMAT:
            raise ValueError(f"format {words[0]} is unknown; this program reads format {FORMAT}")

    def on_config(self, words: list[Any], place: FilePosition, text: str) -> None:
        self.suite.config = (str(words[0]), place)

    def on_list(self, words: list[Any], place: FilePosition, text: str) -> None:
        self.suite.listed = (str(words[0]), place)

    def on_group(self, words: list[Any], place: FilePosition, text: str) -> None:
        name = f"@{str(words[0]).lstrip('@')}"
        if name in self.suite.groups:
            raise ValueError(f"group {name} is given twice")
        self.suite.groups[name] = self.names(words[1:])

    def names(self, words: list[Any]) -> tuple[str, ...]:
        made: dict[str, None] = {}
        for word in map(str, words):
            if word.startswith("@"):
                if word not in self.suite.groups:
                    raise ValueError(f"there is no group {word}")
                made |= dict.fromkeys(self.suite.groups[word])
            else:
                made[word] = None
        return tuple(made)

    def on_collection(self, words: list[Any], place: FilePosition, text: str) -> None:
        name, plan, shards, volumes, hosts = words
        if str(name) in self.suite.collections:
            raise ValueError(f"collection {name} is given twice")
        made = Collection(str(name), str(plan), numbers(shards), int(volumes or 1), int(hosts or 1))
        if not made.volumes or not made.hosts:
            raise ValueError("volumes and hosts must be at least 1")
        self.suite.collections[made.name] = made

    def on_scenario(self, words: list[Any], place: FilePosition, text: str) -> None:
        name = str(words[0])
        if any(s.name == name for s in self.suite.scenarios):
            raise ValueError(f"scenario {name} is given twice")
        self.suite.scenarios.append(Scenario(name, place, int(words[1] or 1)))

    def on_fleet(self, words: list[Any], place: FilePosition, text: str) -> None:
        assert self.scenario is not None
        of = self.scenario
        if of.fleet is not None:
            raise ValueError("the scenario has a fleet already")
        if of.loads or of.happenings or of.expectations:
            raise ValueError("fleet comes first in its scenario")
        servers, fronts = int(words[0]), int(words[1])
        rooms = int(words[2] or min(3, servers))
        if not (0 < servers <= 5000 and 0 < fronts <= 2000 and 0 < rooms <= servers):
            raise ValueError(
                "a fleet has 1 to 5000 servers, 1 to 2000 fronts, and no more rooms than servers"
            )
        copies = int(words[3] or 1)
        if not 0 < copies <= rooms or servers % copies:
            raise ValueError("copies stand in rooms of their own, and servers are a multiple of them")
        of.fleet = Fleet(servers, fronts, rooms, copies=copies, place=place)

    def on_day(self, words: list[Any], place: FilePosition, text: str) -> None:
        assert self.scenario is not None
        of = self.scenario.fleet
        if of is None:
            raise ValueError("day stands before any fleet")
        seconds, load, excess = float(words[0]), part_of(words[1]), part_of(words[2] or "100%")
        if not (0 < seconds <= 3600 and 0 < load <= 10):
            raise ValueError("a day has up to 3600 seconds and a load above 0")
        retries = None if words[3] is None else int(words[3])
        self.scenario.fleet = replace(of, seconds=seconds, load=load, excess=excess, retries=retries)

    def on_load(self, words: list[Any], place: FilePosition, text: str) -> None:
        if self.scenario is not None and self.scenario.fleet is not None:
            raise ValueError("a fleet's load is its day's")
        name, cls, rate, begin, end, units, new = words
        if str(name) not in self.suite.collections:
            raise ValueError(f"there is no collection {name}")
        made = Load(
            str(name),
            str(cls),
            float(rate),
            micros(begin),
            micros(end),
            float(units or 1),
            new is not None,
            place,
        )
        if made.end <= made.begin or not made.rate:
            raise ValueError("the load is empty")
        if made.rate * (made.end - made.begin) / 1e6 > 1e6:
            raise ValueError("the load has more than a million requests")
        assert self.scenario is not None
        self.scenario.loads.append(made)

    def on_at(self, words: list[Any], place: FilePosition, text: str) -> None:
        when, tree = micros(words[0]), words[1]
        assert self.scenario is not None
        kind, of = str(tree.data), tree.children
        fleet = self.scenario.fleet is not None
        if kind in FLEET_ONLY and not fleet:
            raise ValueError(f"{kind} belongs in a scenario with a fleet")
        if kind == "newlist" and fleet:
            raise ValueError("a fleet's lists are its own: there is none to give it")
        made = Happening(when, kind, place=place)
        if kind == "newlist":
            made = replace(made, what="list", word=str(of[0]))
        elif kind == "state":
            made = replace(made, what=str(of[0]), servers=self.names(of[1:]))
        elif kind == "slow":
            made = replace(made, servers=self.names(of[1]), value=float(of[0]))
        elif kind == "outcome":
            made = replace(made, servers=self.names(of[2]), value=part_of(of[1]), word=str(of[0]))
        elif kind == "surge":
            made = replace(made, value=part_of(of[0]))
        elif kind == "costly":
            made = replace(made, word=str(of[0]), value=part_of(of[1]), more=(float(of[2]),))
        elif kind == "neighbour":
            made = replace(made, servers=self.names(of[1]), value=part_of(of[0]))
        elif kind == "lag":
            made = replace(made, servers=self.names(of[2]), value=part_of(of[1]), more=(micros(of[0]),))
        elif kind == "deploy":
            more = (part_of(of[1]), micros(of[2]), micros(of[3]))
            made = replace(made, value=part_of(of[0]), more=more)
        elif kind == "kill":
            made = replace(made, servers=self.names(of[0]))
        elif kind in ("cut", "dark"):
            made = replace(made, value=int(of[0]))
        elif kind == "lists":
            made = replace(made, word=str(of[0]), value=micros(of[1]) if len(of) == 3 else 0)
        elif kind == "clock":
            made = replace(made, value=micros(of[1]) * (1 if of[0] == "ahead" else -1))
        if kind not in ("newlist", "state", "deploy", "kill") and of[-1] is not None:
            made = replace(made, until=when + micros(of[-1]))
        self.scenario.happenings.append(made)

    def on_expect(self, words: list[Any], place: FilePosition, text: str) -> None:
        tree = words[0]
        kind, of = str(tree.data), tree.children
        assert self.scenario is not None

        def add(rule: str, selector: Selector, **more: Any) -> None:
            assert self.scenario is not None
            made = Expectation(rule, selector, text=text.strip(), place=place, **more)
            self.scenario.expectations.append(made)

        if kind == "service":
            if self.scenario.fleet is None:
                raise ValueError("service belongs in a scenario with a fleet")
            add("service", Selector(), limit=part_of(of[0]))
        elif kind == "routed":
            after = micros(of[-1]) if of[-1] is not None else 0
            add(str(of[1]), of[0], servers=self.names(of[2:-1]), after=after)
        elif kind == "attempts":
            add("attempts", of[0], limit=int(of[1]))
        elif kind == "once":
            add("once", of[0])
        elif kind == "within":
            add("within", of[0], limit=micros(of[1]))
        elif kind == "prompt":
            add("prompt", of[0], limit=micros(of[1]))
        elif kind == "ends":
            add(str(of[1]), of[0])
        elif kind == "share":
            add("share", of[0], servers=self.names(of[1]), limit=part_of(of[2]), tolerance=part_of(of[3]))
        elif len(of) == 1:
            add("may-once", of[0])
        elif of[1].type == "INT":
            add("may-attempts", of[0], limit=int(of[1]))
        else:
            add(f"may-{of[1]}", of[0], servers=self.names(of[2:]))

    def on_end(self, words: list[Any], place: FilePosition, text: str) -> None:
        self.closed = True
        if int(words[0]) != self.count - 1:
            raise ValueError(f"the file ends after {words[0]} statements, but has {self.count - 1}")


def parse(text: str, file: str) -> tuple[Suite, list[ListProblem]]:
    """A suite, and all of its problems. Statements count as written, foreach as one."""
    of, total = _Builder(file), 0
    lines = text.split("\n")
    if lines.pop():
        of.bad(
            FilePosition(file, len(lines) + 1),
            "the last line has no line end: perhaps half written",
            code="E103",
        )
    for number, row in enumerate(lines, 1):
        plain = row.split("#")[0]
        if not plain.strip():
            continue
        of.count += 1
        place = FilePosition(file, number, len(row) - len(row.lstrip()) + 1)
        if of.closed:
            of.bad(place, "something stands behind the closing line")
            continue
        try:
            for line in spread(plain):
                total += 1
                if total > LINES_MOST:
                    of.bad(place, f"the suite has more than {LINES_MOST} statements")
                    return of.suite, of.problems
                got = _parsed(line)
                if isinstance(got, tuple):
                    where = f" in {line.strip()!r}" if line != plain else ""
                    of.bad(FilePosition(file, number, got[1]), got[2] + where, got[3])
                    break
                if str(got.data) == "scenario":
                    of.on_scenario(got.children, place, line)
                else:
                    of.take(got, place, line)
        except ValueError as fault:
            of.bad(place, str(fault))
    if not of.closed:
        of.bad(
            FilePosition(file, len(lines) + 1),
            "there is no closing line 'end N': perhaps half written",
            code="E102",
        )
    return of.suite, of.problems
