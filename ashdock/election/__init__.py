"""Duties that only one controller may do: held under a lease, fenced against a holder that was replaced, handed over in order."""
