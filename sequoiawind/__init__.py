"""A router for language-model traffic with long shared prompts.

The package is flat: each module has one job, which its docstring states.
``docs/DESIGN.md`` explains how the modules work together.
"""

from typing import Final

VERSION: Final = "0.1.0"
