"""Deployments of real processes under a day's faults, judged by the commits they lose."""
