"""Runs a daemon whose modules take a while to import.

A daemon handles SIGHUP once it is set up, and reads its settings file before
that.  Until then the signal would end the process.
"""

import importlib
import signal


def run(module: str) -> None:
    """Import a module of the package and run its `main`.

    SIGHUP is ignored until the daemon handles it; the settings file that it
    announces has not been read yet, or is compared again soon.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module(f"sequoiawind.{module}").main()
