"""The corpus of stored forms, frames, HTTP bodies and settings, and what replays it.

`adapter` is the only module that names anything of `ashdock`; `samples` holds the inputs, `corpus`
the data files under `tests/data/forms/`. `python -m tests.forms record|check` writes and checks them.
"""
