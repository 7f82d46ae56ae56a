"""How a server's ends look to a front, after the platform's protocol: shared by the drivers and the judge."""

from umberlead.scheduling.events import AttemptResult

# Turned away, or broken off before its last byte: it never ran.
RESULT_WITHOUT_RUN = {
    "full": AttemptResult.REJECTED,
    "draining": AttemptResult.REJECTED,
    "astray": AttemptResult.NOT_SENT,
    "early": AttemptResult.CONNECT_FAILED,
    "gone": AttemptResult.CONNECT_FAILED,
    "fallen": AttemptResult.RESET,
}
NEVER_RAN = frozenset(("full", "draining", "astray", "early", "gone"))
# Run to its end; None: silence.
RESULT_AFTER_RUN = {
    "ok": AttemptResult.OK,
    "lag": AttemptResult.OK,
    "surplus": AttemptResult.OK,
    "error": AttemptResult.ERROR,
    "spoilt": AttemptResult.ERROR,
    "reset": AttemptResult.RESET,
    "half": AttemptResult.RESET,
    "lost": AttemptResult.RESET,
    "silence": None,
}
KEEPS_CONNECTION = frozenset(("ok", "lag", "error", "full", "draining", "astray"))  # its connection stays
