"""The Range header field: byte ranges as RFC 9110, section 14, defines them."""

import re

MAX_RANGES_COUNT = 32  # of one request; a longer list is ignored, as the RFC allows
RANGE_PATTERN = re.compile(r"(\d{0,18})-(\d{0,18})")

ByteRange = tuple[int, int]  # the first byte, and the one after the last


def parse_ranges(header: str, size_bytes: int) -> list[ByteRange] | None:
    """Read a Range header field.

    Args:
        header: the field's value.
        size_bytes: the size of the object.

    Returns:
        The satisfiable ranges in the order requested, an empty list if there is none, and None where the
        field is to be ignored: it isn't in bytes, is malformed, or its ranges together exceed the object.
    """
    unit, equals, specs = header.partition("=")
    if not equals or unit.strip().lower() != "bytes":
        return None
    listed = [spec.strip() for spec in specs.split(",") if spec.strip()]
    if not listed or len(listed) > MAX_RANGES_COUNT:
        return None
    ranges: list[ByteRange] = []
    for spec in listed:
        byte_range = _parse_range(spec, size_bytes)
        if byte_range is None:
            return None
        begin, end = byte_range
        if begin < end:
            ranges.append(byte_range)
    if len(ranges) > 1 and sum(end - begin for begin, end in ranges) > size_bytes:
        return None
    return ranges


def _parse_range(spec: str, size_bytes: int) -> ByteRange | None:
    """Read one range, which is empty if it can't be satisfied; None where it is malformed."""
    match = RANGE_PATTERN.fullmatch(spec)
    if match is None or spec == "-":
        return None
    first, last = match.groups()
    if not first:  # a suffix: the last so many bytes
        return max(size_bytes - int(last), 0), size_bytes
    if not last:
        return int(first), size_bytes
    if int(last) < int(first):
        return None
    return int(first), min(int(last) + 1, size_bytes)
