"""The HTTP protocols that a front serves: the platform protocol, the object API and the admin API."""
