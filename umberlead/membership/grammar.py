"""The line-based format of endpoint lists: one statement per line, parsed with a Lark grammar.

The meaning of a statement depends only on its own line, so parsed lines are cached by their text, and only
the changed lines of a changed list are parsed. A syntax error gives the column, the expected tokens and the
most similar known word. `end N` closes a file, where N is the number of statements before it, so that a
truncated file is not accepted.
"""

import difflib
from collections.abc import Callable
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, VisitError

from umberlead.membership.errors import MembershipError
from umberlead.membership.model import (
    MAX_WEIGHT,
    SHARD_INDEX_LIMIT,
    STATUS_BY_KEYWORD,
    EndpointSpec,
    EndpointStatement,
    FileDigest,
    FilePosition,
    ListProblem,
    ParsedFile,
    Positioned,
)
from umberlead.scheduling.events import EndpointStatus

FORMAT_VERSION = 1
MAX_CACHED_LINES = 100_000  # Larger than the number of lines of the longest list.
MAX_LINE_CHARACTERS_COUNT = 4096
MIN_ENDPOINT_UNITS = 0.1
MAX_ENDPOINT_UNITS = 1e6
SIMILARITY_THRESHOLD = 0.6
# A line with a syntax error takes long to describe: of a file that is no list at all, the rest is not read.
MAX_FILE_PROBLEMS_COUNT = 200
PROBLEM_KIND = "!"

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


class InvalidValueError(MembershipError):
    """A value that matches the grammar but is not valid, such as a number out of range.

    Attributes:
        column: The column at which the value begins.
        reason: Why the value is not valid.
    """

    def __init__(self, token: Token, reason: str) -> None:
        """Create the error, with the column of the value's token."""
        super().__init__(reason)
        self.column = token.column or 1
        self.reason = reason


class ParsedLine(NamedTuple):
    """A parsed statement; while its line is parsed, also an attribute of a statement.

    Attributes:
        kind: The keyword; `PROBLEM_KIND` for a line with a syntax error, whose value is a `SyntaxProblem`.
        value: The parsed value.
        column: The column at which the value begins; 0 for a line with a syntax error.
    """

    kind: str
    value: Any
    column: int


class SyntaxProblem(NamedTuple):
    """A syntax error in a line; `suggestion` is the most similar known word, "" if there is none."""

    column: int
    message: str
    suggestion: str


def _number_in_range(token: Token, label: str, maximum: float, minimum: float = 0) -> float:
    value = float(token)
    if not minimum <= value <= maximum:
        raise InvalidValueError(token, f"{label} must be from {minimum} to {maximum}, not {token}")
    return value


def _one_token(kind: str, convert: Callable[[Token], Any] = str) -> Any:
    """Return a transformer method for a grammar rule with one token."""

    def convert_rule(transformer: Any, tokens: list[Token]) -> ParsedLine:
        return ParsedLine(kind, convert(tokens[0]), tokens[0].column or 1)

    return convert_rule


class _StatementTransformer(Transformer[Token, Any]):
    """Converts the parse tree of a line; lark calls the method that has the name of the grammar rule."""

    format = _one_token("format", int)
    version = _one_token("version", int)
    network = _one_token("network")
    host = _one_token("host", lambda token: str(token).lower())
    include = _one_token("include")
    manifest = _one_token("manifest")
    end = _one_token("end", int)
    shard = _one_token("shard", lambda token: int(_number_in_range(token, "shard", SHARD_INDEX_LIMIT)))
    room = _one_token("room")
    state = _one_token("state", lambda token: STATUS_BY_KEYWORD[str(token)])
    weight = _one_token("weight", lambda token: _number_in_range(token, "weight", MAX_WEIGHT))
    units = _one_token(
        "max-units",
        lambda token: _number_in_range(token, "max-units", MAX_ENDPOINT_UNITS, MIN_ENDPOINT_UNITS),
    )

    def start(self, children: list[Any]) -> ParsedLine | None:
        """Return the line's statement; None for an empty line."""
        return children[0] if children else None

    def digest(self, tokens: list[Token]) -> ParsedLine:
        """Convert a manifest's `file` statement."""
        path, digest = tokens
        return ParsedLine("file", (str(path), str(digest)), path.column or 1)

    def address(self, tokens: list[Token]) -> ParsedLine:
        """Convert an address, and check its port."""
        (token,) = tokens
        host, _, port = str(token).rpartition(":")
        if not 0 < int(port) < 65536:
            raise InvalidValueError(token, f"port must be from 1 to 65535, not {port}")
        return ParsedLine("address", (host.strip("[]").lower(), int(port)), token.column or 1)

    def server(self, children: list[Any]) -> ParsedLine:
        """Convert a `server` statement, and check that its attributes are complete and unique."""
        name, *attributes = children
        values: dict[str, Any] = {}
        for key, value, column in attributes:
            if key in values:
                raise InvalidValueError(Token("NAME", key, column=column), f"{key} is given twice")
            values[key] = value
        for key in ("address", "shard"):
            if key not in values:
                raise InvalidValueError(name, f"server {name} has no {key}")
        endpoint = EndpointSpec(
            name=str(name),
            address=values["address"],
            shard=values["shard"],
            status=values.get("state", EndpointStatus.UP),
            zone=values.get("room", ""),
            weight=values.get("weight"),
            max_units=values.get("max-units", 0.0),
        )
        return ParsedLine("server", endpoint, name.column or 1)


def keyword_by_terminal(parser: Lark) -> dict[str, str]:
    """Return the keywords of a grammar by terminal name."""
    return {
        terminal.name: str(terminal.pattern.value)
        for terminal in parser.terminals
        if terminal.pattern.type == "str"
    }


_parser = Lark(GRAMMAR, parser="lalr", lexer="contextual", propagate_positions=False)
_transformer = _StatementTransformer()
_keywords = keyword_by_terminal(_parser)
_parsed_lines: dict[str, ParsedLine | None] = {}


def _token_at(text: str, column: int) -> str:
    return next(iter(text[column - 1 :].split("#")[0].split()), "")


def _token_start(text: str, column: int) -> int:
    """Return the column at which the token that reaches to `column` begins."""
    index = column - 1
    while index > 0 and not text[index - 1].isspace():
        index -= 1
    return index + 1


def _expected_terminals(error: UnexpectedInput) -> list[str]:
    candidates = [getattr(error, attribute, None) for attribute in ("accepts", "allowed", "expected")]
    names = {str(name) for name in next((found for found in candidates if found), ())}
    return sorted(names - {"COMMENT", "__IGNORE_0"})


def _error_column(text: str, error: UnexpectedInput) -> int:
    at_end = isinstance(error, UnexpectedEOF) or getattr(getattr(error, "token", None), "type", "") == "$END"
    if at_end:
        return len(text.split("#")[0].rstrip()) + 1
    if isinstance(error.column, int) and error.column > 0:
        return error.column
    return len(text.rstrip()) + 1


def describe_syntax_error(text: str, error: UnexpectedInput, keywords: dict[str, str]) -> SyntaxProblem:
    """Describe a syntax error: its column, the expected tokens and the most similar keyword.

    Args:
        text: The line.
        error: The exception that lark raised for the line.
        keywords: The grammar's keywords by terminal name.
    """
    column = _error_column(text, error)
    names = _expected_terminals(error)
    if isinstance(error, UnexpectedCharacters):
        # The lexer may match a keyword at the start of a longer word: the error is at the start of that word.
        column = _token_start(text, column)
    token = _token_at(text, column)
    if token:  # With a token there, "expected the end of the line" does not help.
        names = [name for name in names if name != "$END"] or names
    known = [keywords[name] for name in names if name in keywords]
    expected = [TERMINAL_DESCRIPTIONS[name] for name in names if name in TERMINAL_DESCRIPTIONS]
    expected += [repr(keyword) for keyword in sorted(known)]
    nearest = difflib.get_close_matches(token.lower(), known, 1, SIMILARITY_THRESHOLD) if token else []
    found = f"found {token!r}" if token else "found the end of the line"
    message = f"expected {' or '.join(expected) or 'nothing more'}, {found}"
    return SyntaxProblem(column, message, nearest[0] if nearest else "")


def parse_line(text: str) -> ParsedLine | None:
    """Return the statement of a line; None if the line is empty.

    A line with a syntax error gives the kind `PROBLEM_KIND` with a `SyntaxProblem` as its value.
    """
    if text in _parsed_lines:
        return _parsed_lines[text]
    if len(text) > MAX_LINE_CHARACTERS_COUNT:
        message = f"the line is longer than {MAX_LINE_CHARACTERS_COUNT} characters"
        return ParsedLine(PROBLEM_KIND, SyntaxProblem(MAX_LINE_CHARACTERS_COUNT + 1, message, ""), 0)
    try:
        parsed: ParsedLine | None = _transformer.transform(_parser.parse(text))
    except UnexpectedInput as error:
        return ParsedLine(PROBLEM_KIND, describe_syntax_error(text, error, _keywords), 0)
    except VisitError as error:
        invalid = error.orig_exc
        if not isinstance(invalid, InvalidValueError):
            raise
        return ParsedLine(PROBLEM_KIND, SyntaxProblem(invalid.column, invalid.reason, ""), 0)
    if len(_parsed_lines) >= MAX_CACHED_LINES:
        _parsed_lines.clear()
    _parsed_lines[text] = parsed
    return parsed


def parse_file(text: str, file: str) -> ParsedFile:
    """Return all statements of a file and all problems found in it.

    Args:
        text: The file's text.
        file: The file's name, for positions.
    """
    return _FileParser(file).parse(text)


class _FileParser:
    """Collects the statements of one file."""

    def __init__(self, file: str) -> None:
        self.result = ParsedFile(file)
        self.statement_count = 0
        self.closed = False

    def parse(self, text: str) -> ParsedFile:
        """Parse the file's text."""
        lines = text.split("\n")
        last_line = lines.pop()
        for number, line in enumerate(lines, 1):
            parsed = parse_line(line.rstrip("\r"))
            if parsed is not None:
                self._add_line(number, parsed)
            if len(self.result.problems) >= MAX_FILE_PROBLEMS_COUNT:
                return self.result
        end_line = len(lines) + 1
        if last_line:
            message = "the last line has no newline: the file may be half written"
            self._add_problem("L103", self._position(end_line, len(last_line) + 1), message)
        if not self.closed:
            message = "there is no closing line 'end N': the file may be half written"
            self._add_problem("L102", self._position(end_line, 0), message)
        return self.result

    def _position(self, line: int, column: int) -> FilePosition:
        return FilePosition(self.result.file, line, column)

    def _add_problem(self, code: str, position: FilePosition, message: str, suggestion: str = "") -> None:
        self.result.problems.append(ListProblem(code, position, message, suggestion))

    def _add_line(self, number: int, parsed: ParsedLine) -> None:
        kind, value, column = parsed
        if kind == PROBLEM_KIND:
            problem: SyntaxProblem = value
            position = self._position(number, problem.column)
            self._add_problem("L101", position, problem.message, problem.suggestion)
            self.statement_count += 1
            return
        position = self._position(number, column)
        if self.closed:
            self._add_problem("L105", position, f"{kind} stands after the closing line")
        elif kind == "end":
            self.closed = True
            if value != self.statement_count:
                message = f"the closing line counts {value} statements, the file has {self.statement_count}"
                self._add_problem("L102", position, message)
        else:
            self.statement_count += 1
            self._check_format(kind, value, position)
            self._add_statement(kind, value, position)

    def _check_format(self, kind: str, value: Any, position: FilePosition) -> None:
        if kind == "format":
            self.result.format_version = value
            if value != FORMAT_VERSION:
                message = f"format {value} is unknown; this program reads format {FORMAT_VERSION}"
                self._add_problem("L104", position, message)
            elif self.statement_count != 1:
                self._add_problem("L104", position, "format must be the first statement")
        elif self.statement_count == 1:
            message = f"the first statement must be 'format {FORMAT_VERSION}'"
            self._add_problem("L104", position, message)

    def _add_statement(self, kind: str, value: Any, position: FilePosition) -> None:
        result = self.result
        if kind == "server":
            result.endpoint_statements.append(EndpointStatement(value, position))
        elif kind == "file":
            path, digest = value
            result.digests.append(FileDigest(path, digest, position))
        elif kind in ("network", "host", "include"):
            statements_by_kind = {
                "network": result.networks,
                "host": result.hosts,
                "include": result.includes,
            }
            statements_by_kind[kind].append(Positioned(value, position))
        elif kind in ("version", "manifest"):
            if getattr(result, kind) is not None:
                self._add_problem("L106", position, f"{kind} is given twice")
            setattr(result, kind, Positioned(value, position))
