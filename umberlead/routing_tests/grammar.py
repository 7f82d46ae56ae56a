"""The grammar of a suite's statements, the conversion of their values, and the expansion of `foreach`.

`foreach x in a b 0..3 : STATEMENT` expands to one STATEMENT per value, with `{x}` replaced by the value.
`foreach` may be nested.
"""

import re
from collections.abc import Iterator
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput, VisitError

from umberlead.membership.grammar import (
    TERMINAL_DESCRIPTIONS,
    InvalidValueError,
    describe_syntax_error,
    keyword_by_terminal,
)
from umberlead.routing_tests.errors import SuiteError
from umberlead.routing_tests.model import Selector

# Limit of a suite's statements after the expansion of foreach; a longer suite is an error.
MAX_STATEMENT_COUNT = 20_000
FOREACH_DEPTH_LIMIT = 3

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
FOREACH = re.compile(r"\s*foreach\s+([a-z][a-z0-9_]*)\s+in\s+([^:#]+?)\s*:\s*(.*)")
RANGE = re.compile(r"([0-9]{1,7})\.\.([0-9]{1,7})")


def parse_duration_us(text: str) -> int:
    """Converts a time such as `300ms` or `2.5s` to whole microseconds."""
    number, unit = re.fullmatch(r"([0-9.]+)(ms|s)", text).groups()  # type: ignore[union-attr]
    return round(float(number) * (1000 if unit == "ms" else 1_000_000))


def parse_ratio(text: str) -> float:
    """Converts a percentage such as `25%` to a ratio."""
    return float(text.rstrip("%")) / 100


def parse_numbers(text: str) -> tuple[int, ...]:
    """The distinct numbers of a text such as `0..3,7`, in order of first appearance.

    Raises:
        SuiteError: A range spans more than `MAX_STATEMENT_COUNT`.
    """
    result: dict[int, None] = {}
    for piece in text.split(","):
        low, _, high = piece.partition("..")
        if int(high or low) - int(low) > MAX_STATEMENT_COUNT:
            raise SuiteError(f"{piece} is a range that is too long")
        result |= dict.fromkeys(range(int(low), int(high or low) + 1))
    return tuple(result)


def _condition(key: str, convert: Any = str) -> Any:
    """Makes a transformer method that reads one condition of a selector."""

    def read(self: Any, children: list[Token]) -> tuple[str, Any, Token]:
        return key, convert(children[0]), children[0]

    return read


class _StatementTransformer(Transformer[Token, Any]):
    """Converts the values in a parse tree; lark calls each method for the grammar rule of that name."""

    def start(self, children: list[Any]) -> Any:
        """The statement of the line, or None if the line is empty."""
        return children[0] if children else None

    def selector(self, children: list[Any]) -> Selector:
        """Builds a selector from its conditions.

        Raises:
            InvalidValueError: A condition is given twice.
        """
        conditions: dict[str, Any] = {}
        for key, value, token in children:
            if key in conditions:
                name = key.removesuffix("_us")  # the message names the condition without its unit
                raise InvalidValueError(token, f"{name} is given twice")
            conditions[key] = value
        return Selector(**conditions)

    plan = _condition("plan")
    of = _condition("collection")
    shard = _condition("shard", int)
    new = _condition("new", lambda _: True)
    since = _condition("begin_us", parse_duration_us)
    until = _condition("end_us", parse_duration_us)

    def servers(self, children: list[Token]) -> list[Token]:
        """The names of servers and groups, not yet expanded."""
        return children


setattr(
    _StatementTransformer, "class", _condition("class_name")
)  # set by name, because `class` is a keyword of Python
_parser = Lark(GRAMMAR, parser="lalr", lexer="contextual", maybe_placeholders=True)
_transformer = _StatementTransformer()
_keywords = keyword_by_terminal(_parser)


def parse_statement(text: str) -> Any:
    """Parses one line.

    Returns the parse tree, None for an empty line, or `("!", column, message, suggestion)` for an error.
    """
    try:
        return _transformer.transform(_parser.parse(text))
    except UnexpectedInput as error:
        return ("!", *describe_syntax_error(text, error, _keywords))
    except VisitError as error:
        if isinstance(error.orig_exc, InvalidValueError):
            return "!", error.orig_exc.column, error.orig_exc.reason, ""
        raise


def expand_foreach(text: str, depth: int = 0) -> Iterator[str]:
    """Expands a line with `foreach` to the lines that it stands for; yields any other line unchanged.

    Raises:
        SuiteError: `foreach` is nested too deep or has too many values.
    """
    header = FOREACH.fullmatch(text)
    if header is None:
        yield text
        return
    if depth >= FOREACH_DEPTH_LIMIT:
        raise SuiteError(f"foreach is nested more than {FOREACH_DEPTH_LIMIT} deep")
    name, values, statement = header.groups()
    expanded: list[str] = []
    for value in values.split():
        match = RANGE.fullmatch(value)
        if match is None:
            expanded.append(value)
            continue
        low = int(match[1])
        high = int(match[2])
        if high - low > MAX_STATEMENT_COUNT:
            raise SuiteError(f"{value} stands for more than {MAX_STATEMENT_COUNT} values")
        expanded += map(str, range(low, high + 1))
    for value in expanded:
        yield from expand_foreach(statement.replace("{" + name + "}", value), depth + 1)
