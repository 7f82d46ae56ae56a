"""How a server's ends look to a front, after the platform's protocol: shared by the drivers and the judge."""

from umberlead.scheduling.interface import Result

# Turned away, or broken off before its last byte: it never ran.
AT_ONCE = {
    "full": Result.FULL, "draining": Result.FULL, "astray": Result.MOOT, "early": Result.NO_LINK,
    "gone": Result.NO_LINK, "fallen": Result.RESET,
}  # fmt: skip
NEVER_RAN = frozenset(("full", "draining", "astray", "early", "gone"))
# Run to its end; None: silence.
AFTER = {
    "ok": Result.OK, "lag": Result.OK, "surplus": Result.OK, "error": Result.ERROR, "spoilt": Result.ERROR,
    "reset": Result.RESET, "half": Result.RESET, "lost": Result.RESET, "silence": None,
}  # fmt: skip
KEEPS = frozenset(("ok", "lag", "error", "full", "draining", "astray"))  # its connection stays
