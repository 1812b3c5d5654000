"""Plays the regression set and compares it with the journal; see scripts/regression."""
