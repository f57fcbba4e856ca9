"""The leader: the one controller that scales the fleet and assigns machines to shards."""

from ashdock.leader.leader import Leader

__all__ = ["Leader"]
