"""Fairness between teams and between job classes: accounting, queueing and shedding of load.

Without input or output. The rules are described in docs/fairness.md.
"""
