"""The protocols that clients and operators speak: the platform's, the object API and the admin API."""
