"""Plays the regression set and compares its scores with the journal; see scripts/regression.

A site is a TOML file that describes a cluster: its machines, controllers, teams and job classes.
A day is a simulated scenario that the bench plays on a site. The bench's kit is the folder that
holds the bench binary and the site files. The journal is the folder of JSON entries that the
bench's runs write.
"""
