"""Lays a list out: one blank line at most, attributes in one order, columns of runs of servers aligned,
comments kept as they are. The meaning never changes, and laying out twice is laying out once."""

from umberlead.membership import grammar
from umberlead.membership.model import Server
from umberlead.scheduling.interface import NodeState


def _number(value: float) -> str:
    return f"{value:.9f}".rstrip("0").rstrip(".")


def attributes(server: Server) -> list[str]:
    """As words, in the usual order."""
    assert server.address is not None
    host, port = server.address
    made = [f"address {f'[{host}]' if ':' in host else host}:{port}", f"shard {server.shard}"]
    if server.room:
        made.append(f"room {server.room}")
    if server.weight is not None:
        made.append(f"weight {_number(server.weight)}")
    if server.state is NodeState.DRAINING:
        made.append("state draining")
    if server.units:
        made.append(f"max-units {_number(server.units)}")
    return made


def statement(server: Server) -> str:
    return " ".join([f"server {server.name}", *attributes(server)])


def _comment(text: str) -> str:
    _, found, comment = text.partition("#")
    return f"# {comment.strip()}".rstrip() if found else ""


def _plain(kind: str, value: object, text: str) -> str:
    if kind == "file":
        assert isinstance(value, tuple)
        return f"file {value[0]} sha256 {value[1]}"
    return f"{kind} {value}"


def _aligned(run: list[tuple[Server, str]]) -> list[str]:
    """A run of server lines: name, address and shard in columns, then what else there is."""
    cells = [[f"server {s.name}", *attributes(s)] for s, _ in run]
    widths = [max(len(row[k]) for row in cells) for k in range(3)]
    lines = []
    for row, (_, comment) in zip(cells, run, strict=True):
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        line = " ".join([*padded, *row[3:]]).rstrip()
        lines.append(f"{line}  {comment}" if comment else line)
    return lines


def formatted(text: str) -> str:
    """A file that parses without problems, laid out."""
    made, run = list[str](), list[tuple[Server, str]]()

    def flush() -> None:
        if run:
            made.extend(_aligned(run))
            run.clear()

    for row in text.split("\n")[:-1]:
        row = row.rstrip("\r")
        got, comment = grammar.line(row), _comment(row)
        if got is not None and got[0] == "server":
            run.append((got[1], comment))
            continue
        flush()
        if got is not None:
            line = _plain(got[0], got[1], row)
            made.append(f"{line}  {comment}" if comment else line)
        elif comment:
            made.append(comment)
        elif made and made[-1]:
            made.append("")
    flush()
    while made and not made[-1]:
        made.pop()
    return "\n".join([*made, ""])
