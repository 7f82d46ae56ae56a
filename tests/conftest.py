"""What holds for all tests."""

from hypothesis import settings

# Without a limit in wall time to each drawn case: on busy cores one fails, and the same one passes again.
settings.register_profile("suite", deadline=None)
settings.load_profile("suite")
