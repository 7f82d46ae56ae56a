"""Lays a list out: one blank line at most, attributes in one order, columns of runs of servers aligned,
comments kept as they are. The meaning never changes, and laying out twice is laying out once."""

from umberlead.membership import grammar
from umberlead.membership.model import EndpointSpec
from umberlead.scheduling.events import EndpointStatus


def _format_number(value: float) -> str:
    return f"{value:.9f}".rstrip("0").rstrip(".")


def endpoint_attributes(endpoint: EndpointSpec) -> list[str]:
    """As words, in the usual order."""
    assert endpoint.address is not None
    host, port = endpoint.address
    made = [f"address {f'[{host}]' if ':' in host else host}:{port}", f"shard {endpoint.shard}"]
    if endpoint.room:
        made.append(f"room {endpoint.room}")
    if endpoint.weight is not None:
        made.append(f"weight {_format_number(endpoint.weight)}")
    if endpoint.state is EndpointStatus.DRAINING:
        made.append("state draining")
    if endpoint.units:
        made.append(f"max-units {_format_number(endpoint.units)}")
    return made


def endpoint_statement(endpoint: EndpointSpec) -> str:
    return " ".join([f"server {endpoint.name}", *endpoint_attributes(endpoint)])


def _extract_comment(text: str) -> str:
    _, found, comment = text.partition("#")
    return f"# {comment.strip()}".rstrip() if found else ""


def _format_statement(kind: str, value: object, text: str) -> str:
    if kind == "file":
        assert isinstance(value, tuple)
        return f"file {value[0]} sha256 {value[1]}"
    return f"{kind} {value}"


def _aligned_lines(run: list[tuple[EndpointSpec, str]]) -> list[str]:
    """A run of server lines: name, address and shard in columns, then what else there is."""
    cells = [[f"server {s.name}", *endpoint_attributes(s)] for s, _ in run]
    widths = [max(len(row[k]) for row in cells) for k in range(3)]
    lines = []
    for row, (_, comment) in zip(cells, run, strict=True):
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        line = " ".join([*padded, *row[3:]]).rstrip()
        lines.append(f"{line}  {comment}" if comment else line)
    return lines


def format_list(text: str) -> str:
    """A file that parses without problems, laid out."""
    made, run = list[str](), list[tuple[EndpointSpec, str]]()

    def flush() -> None:
        if run:
            made.extend(_aligned_lines(run))
            run.clear()

    for row in text.split("\n")[:-1]:
        row = row.rstrip("\r")
        got, comment = grammar.parse_line(row), _extract_comment(row)
        if got is not None and got[0] == "server":
            run.append((got[1], comment))
            continue
        flush()
        if got is not None:
            line = _format_statement(got[0], got[1], row)
            made.append(f"{line}  {comment}" if comment else line)
        elif comment:
            made.append(comment)
        elif made and made[-1]:
            made.append("")
    flush()
    while made and not made[-1]:
        made.pop()
    return "\n".join([*made, ""])
