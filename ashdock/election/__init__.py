"""Leader election on a store lease, with fencing of replaced leaders and leadership transfer."""
