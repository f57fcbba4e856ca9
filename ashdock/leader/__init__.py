"""The work of the leader: the one controller that scales the fleet and assigns its machines."""

from ashdock.leader.leader import Leader

__all__ = ["Leader"]
