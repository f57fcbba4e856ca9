"""ashdock: a cluster scheduler whose pending retries survive a crash of the controller."""

__version__ = "0.1.0"
