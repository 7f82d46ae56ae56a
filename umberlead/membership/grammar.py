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

from umberlead.membership.model import SHARD_MOST, STATES, WEIGHT_MOST, Entry, Parsed, Place, Problem, Server
from umberlead.scheduling.interface import NodeState

FORMAT = 1
LINES_KEPT = 100_000  # parsed lines remembered: more than the largest list has
LINE_MOST = 4096  # characters
FIRST_LINE = "format"

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

WORDS = {
    "INT": "a whole number", "NUMBER": "a number", "HEX": "64 hex digits", "NAME": "a name", "PATH": "a file",
    "HOSTNAME": "a host name", "HOSTPORT": "host:port", "CIDR": "a network such as 10.1.0.0/16",
    "$END": "the end of the line",
}  # fmt: skip
ORDER = ("address", "shard", "room", "weight", "state", "max-units")  # as the formatter has it


class Bad(ValueError):
    """A value out of its range: the column it stands at and what is wrong."""

    def __init__(self, token: Token, why: str) -> None:
        super().__init__(why)
        self.column, self.why = token.column or 1, why


def _within(token: Token, what: str, most: float, least: float = 0) -> float:
    value = float(token)
    if not least <= value <= most:
        raise Bad(token, f"{what} must be from {least} to {most}, not {token}")
    return value


class _Read(Transformer[Token, Any]):
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
    shard = _one("shard", lambda t: int(_within(t, "shard", SHARD_MOST)))
    room = _one("room")
    state = _one("state", lambda t: STATES[str(t)])
    weight = _one("weight", lambda t: _within(t, "weight", WEIGHT_MOST))
    units = _one("max-units", lambda t: _within(t, "max-units", 1e6, 0.1))

    def digest(self, got: list[Token]) -> tuple[str, Any, int]:
        return "file", (str(got[0]), str(got[1])), got[0].column or 1

    def address(self, got: list[Token]) -> tuple[str, Any, int]:
        host, _, port = str(got[0]).rpartition(":")
        if not 0 < int(port) < 65536:
            raise Bad(got[0], f"port must be from 1 to 65535, not {port}")
        return "address", (host.strip("[]").lower(), int(port)), got[0].column or 1

    def server(self, got: list[Any]) -> tuple[str, Any, int]:
        name, found = got[0], dict[str, Any]()
        for key, value, column in got[1:]:
            if key in found:
                raise Bad(Token("NAME", key, column=column), f"{key} is given twice")
            found[key] = value
        for key in ("address", "shard"):
            if key not in found:
                raise Bad(name, f"server {name} has no {key}")
        made = Server(
            str(name), found["address"], found["shard"], found.get("state", NodeState.UP),
            found.get("room", ""), found.get("weight"), found.get("max-units", 0.0),
        )  # fmt: skip
        return "server", made, name.column or 1


def keywords_of(parser: Lark) -> dict[str, str]:
    return {t.name: str(t.pattern.value) for t in parser.terminals if t.pattern.type == "str"}


_parser = Lark(GRAMMAR, parser="lalr", lexer="contextual", propagate_positions=False)
_read = _Read()
_by_name = keywords_of(_parser)
_lines: dict[str, Any] = {}


def _word_at(text: str, column: int) -> str:
    return next(iter(text[column - 1 :].split("#")[0].split()), "")


def _expected(fault: UnexpectedInput) -> list[str]:
    told = [getattr(fault, n, None) for n in ("accepts", "allowed", "expected")]
    names = {str(name) for name in next((t for t in told if t), ())}
    return sorted(names - {"COMMENT", "__IGNORE_0"})


def fault_of(text: str, fault: UnexpectedInput, keywords: dict[str, str]) -> tuple[int, str, str]:
    """Column, what was expected, and the nearest known word; `keywords` by their terminals' names."""
    column = fault.column if isinstance(fault.column, int) and fault.column > 0 else len(text.rstrip()) + 1
    if isinstance(fault, UnexpectedEOF) or getattr(getattr(fault, "token", None), "type", "") == "$END":
        column = len(text.split("#")[0].rstrip()) + 1
    word, names = _word_at(text, column), _expected(fault)
    if isinstance(fault, UnexpectedCharacters):
        # A keyword with more behind it is a word of its own: what the line began with is what was meant.
        column, word = _word_start(text, column)
    if word:  # that the line might have ended there is no help
        names = [n for n in names if n != "$END"] or names
    known = [keywords[n] for n in names if n in keywords]
    wanted = [WORDS[n] for n in names if n in WORDS] + [repr(w) for w in sorted(known)]
    near = difflib.get_close_matches(word.lower(), known, 1, 0.6) if word else []
    found = f"found {word!r}" if word else "the line ends"
    return column, f"expected {' or '.join(wanted) or 'nothing more'}, {found}", near[0] if near else ""


def _word_start(text: str, column: int) -> tuple[int, str]:
    at = column - 1
    while at > 0 and not text[at - 1].isspace():
        at -= 1
    return at + 1, _word_at(text, at + 1)


def line(text: str) -> Any:
    """One line as (kind, value, column), None where it is empty, or a `Problem`-like (column, why, near)
    under kind "!"."""
    if text in _lines:
        return _lines[text]
    if len(text) > LINE_MOST:
        return "!", (LINE_MOST + 1, f"the line is longer than {LINE_MOST} characters", ""), 0
    try:
        got = _read.transform(_parser.parse(text))
    except UnexpectedInput as fault:
        return "!", fault_of(text, fault, _by_name), 0
    except VisitError as fault:
        if not isinstance(fault.orig_exc, Bad):
            raise
        return "!", (fault.orig_exc.column, fault.orig_exc.why, ""), 0
    if len(_lines) >= LINES_KEPT:
        _lines.clear()
    _lines[text] = got
    return got


def parse(text: str, file: str) -> Parsed:
    """All statements of a file, and every problem found on the way (not only the first)."""
    made, count, closed = Parsed(file), 0, False

    def bad(code: str, number: int, column: int, why: str, near: str = "") -> None:
        made.problems.append(Problem(code, Place(file, number, column), why, near))

    lines = text.split("\n")
    last = lines.pop()
    for number, row in enumerate(lines, 1):
        got = line(row.rstrip("\r"))
        if got is None:
            continue
        kind, value, column = got
        if kind == "!":
            bad("L101", number, *value)
            count += 1
            continue
        place = Place(file, number, column)
        if closed:
            bad("L105", number, column, f"{kind} stands behind the closing line")
        elif kind == "end":
            closed = True
            if value != count:
                bad("L102", number, column, f"the file ends after {value} statements, but has {count}")
        else:
            count += 1
            _note(made, kind, value, place, count, bad)
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


def _note(made: Parsed, kind: str, value: Any, place: Place, count: int, bad: Callable[..., None]) -> None:
    line_of = (place.line, place.column)
    if kind == FIRST_LINE:
        made.format = value
        if value != FORMAT:
            bad("L104", *line_of, f"format {value} is unknown; this program reads format {FORMAT}")
        elif count != 1:
            bad("L104", *line_of, "format must be the first statement")
    elif count == 1:
        bad("L104", *line_of, f"the first statement must be 'format {FORMAT}'")
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
        made.entries.append(Entry(value, place))
