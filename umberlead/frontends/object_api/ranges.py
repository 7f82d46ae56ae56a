"""Parser of the Range header field: byte ranges by RFC 9110, section 14."""

import re

MAX_RANGE_COUNT = 32  # in a request; a header field with more is ignored, as the RFC allows
RANGE_PATTERN = re.compile(r"(\d{0,18})-(\d{0,18})")

ByteRange = tuple[int, int]  # the offsets of the first byte and of the byte after the last one


def parse_ranges(header: str, size_bytes: int) -> list[ByteRange] | None:
    """Parse a Range header field.

    Args:
        header: the field's value.
        size_bytes: the size of the object.

    Returns:
        The satisfiable ranges in the requested order, which is an empty list if none is satisfiable. None if
        the field is to be ignored: its unit is not bytes, it is malformed, it has more than
        `MAX_RANGE_COUNT` ranges, or its ranges are longer in total than the object.
    """
    unit, equals, specs = header.partition("=")
    if not equals or unit.strip().lower() != "bytes":
        return None
    range_specs = [spec.strip() for spec in specs.split(",") if spec.strip()]
    if not range_specs or len(range_specs) > MAX_RANGE_COUNT:
        return None
    ranges: list[ByteRange] = []
    for spec in range_specs:
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
    """Parse one range, which is empty if it can't be satisfied; return None if it is malformed."""
    match = RANGE_PATTERN.fullmatch(spec)
    if match is None or spec == "-":
        return None
    first, last = match.groups()
    if not first:  # a suffix range: the last N bytes
        return max(size_bytes - int(last), 0), size_bytes
    if not last:
        return int(first), size_bytes
    if int(last) < int(first):
        return None
    return int(first), min(int(last) + 1, size_bytes)
