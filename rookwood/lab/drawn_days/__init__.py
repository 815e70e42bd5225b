"""Draws days full of trouble for the platform's bench, from every kind of trouble that the bench names."""
