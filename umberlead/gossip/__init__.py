"""Gossip between fronts in the manner of SWIM: who is alive, and what each front observes of zones."""
