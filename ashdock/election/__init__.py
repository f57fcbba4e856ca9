"""Leader election: acquired under a store lease, fenced against a replaced leader, transferred in order."""
