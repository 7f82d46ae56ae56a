"""The error for an invalid configuration."""

from umberlead.common.errors import UmberleadError


class ConfigError(UmberleadError, ValueError):
    """A key of the configuration is missing or unknown, or has an invalid value.

    Attributes:
        key: The full dotted name of the key, or the name of the environment variable.
    """

    def __init__(self, key: str, reason: str) -> None:
        """Make the message `KEY: REASON`.

        Args:
            key: The full dotted name of the key.
            reason: What is wrong with its value, as the rest of a sentence that begins with the key.
        """
        super().__init__(f"{key}: {reason}")
        self.key = key
