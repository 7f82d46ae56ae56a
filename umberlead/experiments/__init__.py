"""Experiments: run each combination of scripts, versions, configurations and seeds, store the results as one
dataset, and compare the arms by paired differences."""
