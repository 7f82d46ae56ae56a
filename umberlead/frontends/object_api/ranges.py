"""Byte ranges as RFC 9110, section 14, has them."""

import re

MAX_RANGES_COUNT = 32  # ranges of one request; a longer list is ignored, as the RFC allows
RANGE_PATTERN = re.compile(r"(\d{0,18})-(\d{0,18})")

ByteRange = tuple[int, int]  # first byte, and the one after the last


def parse_ranges(header: str, size_bytes: int) -> list[ByteRange] | None:
    """The satisfiable ranges in the order asked for, an empty list if there is none, and None where the
    header is to be ignored: not in bytes, malformed, or a list made to cost more than the whole."""
    unit, equals, specs = header.partition("=")
    if not equals or unit.strip().lower() != "bytes":
        return None
    found: list[ByteRange] = []
    listed = [s.strip() for s in specs.split(",") if s.strip()]
    if not listed or len(listed) > MAX_RANGES_COUNT:
        return None
    for spec in listed:
        match = RANGE_PATTERN.fullmatch(spec)
        if match is None or spec == "-":
            return None
        first, last = match.groups()
        if not first:  # a suffix: the last so many bytes
            begin, end = max(size_bytes - int(last), 0), size_bytes
        else:
            begin, end = int(first), min(int(last) + 1, size_bytes) if last else size_bytes
            if last and int(last) < begin:
                return None
        if begin < end:
            found.append((begin, end))
    if len(found) > 1 and sum(end - begin for begin, end in found) > size_bytes:
        return None
    return found
