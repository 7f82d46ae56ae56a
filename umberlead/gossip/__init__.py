"""SWIM-style gossip between fronts: membership, and the zone states that each front observes."""
