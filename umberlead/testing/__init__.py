"""Stand-ins for what a front meets, and checkers of its rules: for tests, measurements and first steps."""
