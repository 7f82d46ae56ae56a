"""The line-based list format: one statement a line, read by a Lark grammar.

A statement's meaning depends on its own line alone, so the result of a line is remembered by its text: of a
changed list only the changed lines are parsed. Errors tell the column, what was expected there, and the
nearest known word. `end N` closes a file, N being the number of statements before it: no part of a file
passes for the whole."""

import difflib
from collections.abc import Callable
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, VisitError

from umberlead.membership.model import (
    MAX_WEIGHT,
    SHARD_INDEX_LIMIT,
    STATE_BY_KEYWORD,
    EndpointSpec,
    EndpointStatement,
    FilePosition,
    ListProblem,
    ParsedFile,
)
from umberlead.scheduling.events import EndpointStatus

FORMAT_VERSION = 1
MAX_CACHED_LINES = 100_000  # parsed lines remembered: more than the largest list has
MAX_LINE_CHARACTERS_COUNT = 4096  # characters
FIRST_KEYWORD = "format"

GRAMMAR = r"""
start: statement?
?statement: format | version | network | host | include | manifest | digest | server | end
format: "format" INT
version: "version" INT
network: "network" CIDR
host: "host" HOSTNAME
include: "include" PATH
manifest: "manifest" PATH
digest: "file" PATH "sha256" HEX
server: "server" NAME attribute+
?attribute: address | shard | state | room | weight | units
address: "address" HOSTPORT
shard: "shard" INT
state: "state" (READY | DRAINING)
room: "room" NAME
weight: "weight" NUMBER
units: "max-units" NUMBER
end: "end" INT

READY: "ready"
DRAINING: "draining"
INT: /[0-9]{1,18}(?![^\s#])/
NUMBER: /[0-9]{1,9}(\.[0-9]{1,9})?(?![^\s#])/
HEX: /[0-9a-f]{64}(?![^\s#])/
NAME: /[A-Za-z0-9][A-Za-z0-9._-]{0,127}(?![^\s#])/
HOSTNAME: /[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?(?![^\s#])/
HOSTPORT: /(\[[0-9A-Fa-f:.]{2,45}\]|[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?):[0-9]{1,5}(?![^\s#])/
CIDR: /[0-9A-Fa-f.:]{2,45}(\/[0-9]{1,3})?(?![^\s#])/
PATH: /[^\s#]{1,1024}/
COMMENT: /#[^\n]*/
%ignore COMMENT
%ignore /[ \t]+/
"""

TERMINAL_DESCRIPTIONS = {
    "INT": "a whole number",
    "NUMBER": "a number",
    "HEX": "64 hex digits",
    "NAME": "a name",
    "PATH": "a file",
    "HOSTNAME": "a host name",
    "HOSTPORT": "host:port",
    "CIDR": "a network such as 10.1.0.0/16",
    "$END": "the end of the line",
}
ATTRIBUTE_ORDER = ("address", "shard", "room", "weight", "state", "max-units")  # as the formatter has it


class InvalidValueError(ValueError):
    """A value out of its range: the column it stands at and what is wrong."""

    def __init__(self, token: Token, why: str) -> None:
        super().__init__(why)
        self.column, self.reason = token.column or 1, why


def _number_in_range(token: Token, label: str, maximum: float, minimum: float = 0) -> float:
    value = float(token)
    if not minimum <= value <= maximum:
        raise InvalidValueError(token, f"{label} must be from {minimum} to {maximum}, not {token}")
    return value


class _StatementTransformer(Transformer[Token, Any]):
    """A line's tree to (kind, values). Attributes become (name, value, column)."""

    def start(self, got: list[Any]) -> Any:
        return got[0] if got else None

    def _one(kind: str, of: Callable[[Token], Any] = str) -> Any:  # type: ignore[misc]
        def read(self: Any, got: list[Token]) -> tuple[str, Any, int]:
            return kind, of(got[0]), got[0].column or 1

        return read

    format = _one("format", int)
    version = _one("version", int)
    network = _one("network")
    host = _one("host", lambda t: str(t).lower())
    include = _one("include")
    manifest = _one("manifest")
    end = _one("end", int)
    shard = _one("shard", lambda t: int(_number_in_range(t, "shard", SHARD_INDEX_LIMIT)))
    room = _one("room")
    state = _one("state", lambda t: STATE_BY_KEYWORD[str(t)])
    weight = _one("weight", lambda t: _number_in_range(t, "weight", MAX_WEIGHT))
    units = _one("max-units", lambda t: _number_in_range(t, "max-units", 1e6, 0.1))

    def digest(self, got: list[Token]) -> tuple[str, Any, int]:
        return "file", (str(got[0]), str(got[1])), got[0].column or 1

    def address(self, got: list[Token]) -> tuple[str, Any, int]:
        host, _, port = str(got[0]).rpartition(":")
        if not 0 < int(port) < 65536:
            raise InvalidValueError(got[0], f"port must be from 1 to 65535, not {port}")
        return "address", (host.strip("[]").lower(), int(port)), got[0].column or 1

    def server(self, got: list[Any]) -> tuple[str, Any, int]:
        name, found = got[0], dict[str, Any]()
        for key, value, column in got[1:]:
            if key in found:
                raise InvalidValueError(Token("NAME", key, column=column), f"{key} is given twice")
            found[key] = value
        for key in ("address", "shard"):
            if key not in found:
                raise InvalidValueError(name, f"server {name} has no {key}")
        made = EndpointSpec(
            str(name),
            found["address"],
            found["shard"],
            found.get("state", EndpointStatus.UP),
            found.get("room", ""),
            found.get("weight"),
            found.get("max-units", 0.0),
        )
        return "server", made, name.column or 1


def keyword_by_terminal(parser: Lark) -> dict[str, str]:
    return {t.name: str(t.pattern.value) for t in parser.terminals if t.pattern.type == "str"}


_parser = Lark(GRAMMAR, parser="lalr", lexer="contextual", propagate_positions=False)
_transformer = _StatementTransformer()
_keywords = keyword_by_terminal(_parser)
_parsed_lines: dict[str, Any] = {}


def _token_at(text: str, column: int) -> str:
    return next(iter(text[column - 1 :].split("#")[0].split()), "")


def _expected_terminals(fault: UnexpectedInput) -> list[str]:
    told = [getattr(fault, n, None) for n in ("accepts", "allowed", "expected")]
    names = {str(name) for name in next((t for t in told if t), ())}
    return sorted(names - {"COMMENT", "__IGNORE_0"})


def describe_syntax_error(
    text: str, fault: UnexpectedInput, keywords: dict[str, str]
) -> tuple[int, str, str]:
    """Column, what was expected, and the nearest known word; `keywords` by their terminals' names."""
    column = fault.column if isinstance(fault.column, int) and fault.column > 0 else len(text.rstrip()) + 1
    if isinstance(fault, UnexpectedEOF) or getattr(getattr(fault, "token", None), "type", "") == "$END":
        column = len(text.split("#")[0].rstrip()) + 1
    word, names = _token_at(text, column), _expected_terminals(fault)
    if isinstance(fault, UnexpectedCharacters):
        # A keyword with more behind it is a word of its own: what the line began with is what was meant.
        column, word = _token_start(text, column)
    if word:  # that the line might have ended there is no help
        names = [n for n in names if n != "$END"] or names
    known = [keywords[n] for n in names if n in keywords]
    wanted = [TERMINAL_DESCRIPTIONS[n] for n in names if n in TERMINAL_DESCRIPTIONS] + [
        repr(w) for w in sorted(known)
    ]
    near = difflib.get_close_matches(word.lower(), known, 1, 0.6) if word else []
    found = f"found {word!r}" if word else "the line ends"
    return column, f"expected {' or '.join(wanted) or 'nothing more'}, {found}", near[0] if near else ""


def _token_start(text: str, column: int) -> tuple[int, str]:
    at = column - 1
    while at > 0 and not text[at - 1].isspace():
        at -= 1
    return at + 1, _token_at(text, at + 1)


def parse_line(text: str) -> Any:
    """One line as (kind, value, column), None where it is empty, or a `Problem`-like (column, why, near)
    under kind "!"."""
    if text in _parsed_lines:
        return _parsed_lines[text]
    if len(text) > MAX_LINE_CHARACTERS_COUNT:
        return (
            "!",
            (
                MAX_LINE_CHARACTERS_COUNT + 1,
                f"the line is longer than {MAX_LINE_CHARACTERS_COUNT} characters",
                "",
            ),
            0,
        )
    try:
        got = _transformer.transform(_parser.parse(text))
    except UnexpectedInput as fault:
        return "!", describe_syntax_error(text, fault, _keywords), 0
    except VisitError as fault:
        if not isinstance(fault.orig_exc, InvalidValueError):
            raise
        return "!", (fault.orig_exc.column, fault.orig_exc.reason, ""), 0
    if len(_parsed_lines) >= MAX_CACHED_LINES:
        _parsed_lines.clear()
    _parsed_lines[text] = got
    return got


def parse_file(text: str, file: str) -> ParsedFile:
    """All statements of a file, and every problem found on the way (not only the first)."""
    made, count, closed = ParsedFile(file), 0, False

    def bad(code: str, number: int, column: int, why: str, near: str = "") -> None:
        made.problems.append(ListProblem(code, FilePosition(file, number, column), why, near))

    lines = text.split("\n")
    last = lines.pop()
    for number, row in enumerate(lines, 1):
        got = parse_line(row.rstrip("\r"))
        if got is None:
            continue
        kind, value, column = got
        if kind == "!":
            bad("L101", number, *value)
            count += 1
            continue
        place = FilePosition(file, number, column)
        if closed:
            bad("L105", number, column, f"{kind} stands behind the closing line")
        elif kind == "end":
            closed = True
            if value != count:
                bad("L102", number, column, f"the file ends after {value} statements, but has {count}")
        else:
            count += 1
            _record_statement(made, kind, value, place, count, bad)
    if last:
        bad(
            "L103",
            len(lines) + 1,
            len(last) + 1,
            "the last line has no line end: perhaps half written",
        )
    if not closed:
        bad("L102", len(lines) + 1, 0, "there is no closing line 'end N': the file may be half written")
    return made


def _record_statement(
    made: ParsedFile, kind: str, value: Any, place: FilePosition, count: int, bad: Callable[..., None]
) -> None:
    line_of = (place.line, place.column)
    if kind == FIRST_KEYWORD:
        made.format_version = value
        if value != FORMAT_VERSION:
            bad("L104", *line_of, f"format {value} is unknown; this program reads format {FORMAT_VERSION}")
        elif count != 1:
            bad("L104", *line_of, "format must be the first statement")
    elif count == 1:
        bad("L104", *line_of, f"the first statement must be 'format {FORMAT_VERSION}'")
    if kind == "version":
        if made.version is not None:
            bad("L106", *line_of, "version is given twice")
        made.version = (value, place)
    elif kind == "manifest":
        if made.manifest is not None:
            bad("L106", *line_of, "manifest is given twice")
        made.manifest = (value, place)
    elif kind == "network":
        made.networks.append((value, place))
    elif kind == "host":
        made.hosts.append((value, place))
    elif kind == "include":
        made.includes.append((value, place))
    elif kind == "file":
        made.digests.append((*value, place))
    elif kind == "server":
        made.endpoint_statements.append(EndpointStatement(value, place))
