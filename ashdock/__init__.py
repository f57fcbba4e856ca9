"""ashdock: a cluster scheduler whose retries survive the processes that made them."""

__version__ = "0.1.0"
