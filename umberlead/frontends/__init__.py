"""The protocols that clients and operators speak to a front."""
