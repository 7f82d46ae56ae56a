"""Formats endpoint lists.

Consecutive blank lines become one, attributes get a fixed order, consecutive `server` lines are aligned, and
comments are kept. Formatting does not change the meaning of a list and is idempotent.
"""

from typing import NamedTuple

from umberlead.membership import grammar
from umberlead.membership.model import EndpointSpec
from umberlead.scheduling.events import EndpointStatus

ALIGNED_COLUMNS_COUNT = 3


class _EndpointLine(NamedTuple):
    endpoint: EndpointSpec
    comment: str


def _format_number(value: float) -> str:
    return f"{value:.9f}".rstrip("0").rstrip(".")


def endpoint_attributes(endpoint: EndpointSpec) -> list[str]:
    """Return the attributes of an endpoint's `server` statement, in their fixed order.

    Args:
        endpoint: The endpoint; it must have an address.
    """
    assert endpoint.address is not None
    host, port = endpoint.address
    written_host = f"[{host}]" if ":" in host else host
    attributes = [f"address {written_host}:{port}", f"shard {endpoint.shard}"]
    if endpoint.zone:
        attributes.append(f"room {endpoint.zone}")
    if endpoint.weight is not None:
        attributes.append(f"weight {_format_number(endpoint.weight)}")
    if endpoint.status is EndpointStatus.DRAINING:
        attributes.append("state draining")
    if endpoint.max_units:
        attributes.append(f"max-units {_format_number(endpoint.max_units)}")
    return attributes


def endpoint_statement(endpoint: EndpointSpec) -> str:
    """Return an endpoint as a `server` statement."""
    return " ".join([f"server {endpoint.name}", *endpoint_attributes(endpoint)])


def _extract_comment(text: str) -> str:
    _, separator, comment = text.partition("#")
    return f"# {comment.strip()}".rstrip() if separator else ""


def _with_comment(line: str, comment: str) -> str:
    return f"{line}  {comment}" if comment else line


def _format_statement(kind: str, value: object) -> str:
    if kind == "file":
        assert isinstance(value, tuple)
        return f"file {value[0]} sha256 {value[1]}"
    return f"{kind} {value}"


def _aligned_lines(run: list[_EndpointLine]) -> list[str]:
    """Return consecutive `server` lines with name, address and shard aligned in columns."""
    rows = [[f"server {line.endpoint.name}", *endpoint_attributes(line.endpoint)] for line in run]
    widths = [max(len(row[column]) for row in rows) for column in range(ALIGNED_COLUMNS_COUNT)]
    lines = []
    for row, (_, comment) in zip(rows, run, strict=True):
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        line = " ".join([*padded, *row[ALIGNED_COLUMNS_COUNT:]]).rstrip()
        lines.append(_with_comment(line, comment))
    return lines


def format_list(text: str) -> str:
    """Return the formatted text of a list file, which must parse without problems."""
    lines: list[str] = []
    run: list[_EndpointLine] = []
    for row in text.split("\n")[:-1]:
        row = row.rstrip("\r")
        parsed = grammar.parse_line(row)
        comment = _extract_comment(row)
        if parsed is not None and parsed.kind == "server":
            run.append(_EndpointLine(parsed.value, comment))
            continue
        lines += _aligned_lines(run) if run else []
        run = []
        if parsed is not None:
            lines.append(_with_comment(_format_statement(parsed.kind, parsed.value), comment))
        elif comment:
            lines.append(comment)
        elif lines and lines[-1]:
            lines.append("")
    lines += _aligned_lines(run) if run else []
    while lines and not lines[-1]:
        lines.pop()
    return "\n".join([*lines, ""])
