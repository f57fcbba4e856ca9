"""Tracks which confirmed cancellations a controller knows, to decide which leases it may renew."""
