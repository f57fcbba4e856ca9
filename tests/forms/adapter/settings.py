"""The settings file and the operators' own."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ashdock.settings import (
    load,
    load_operators,
)
from tests.forms.adapter.values import (
    Plain,
)


def read_settings(path: Path, operators: Path) -> Plain:
    """A settings file with the operators' own, as values, and the limits to keep within."""
    settings = load(str(path), operators)
    smaller = msgspec.to_builtins(settings.settings.state.smaller())
    values: dict[str, Plain] = msgspec.to_builtins(settings)
    return values | {"within": smaller}


def read_operators(path: Path) -> Plain:
    """The operators' file as values."""
    return msgspec.to_builtins(load_operators(path))
