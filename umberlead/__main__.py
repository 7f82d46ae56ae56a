"""`python -m umberlead`: runs a front configured by the environment or, with arguments, the command line."""

import sys

from umberlead.start import main

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from umberlead.commands import command

        command(prog_name="umberlead")
    main()
