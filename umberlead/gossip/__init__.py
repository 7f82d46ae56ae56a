"""Gossip between fronts about zones, after SWIM: messages, membership, and the UDP transport."""
