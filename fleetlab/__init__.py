"""A laboratory for fleets: real routers, hollow ones and stand-ins for all around them, on loopback.

The router never imports it. `python -m fleetlab run FILE` plays an experiment, `sweep` plays it at growing
sizes, and `report` makes slopes, plots and the tables of docs/CAPACITY.md from the result files.
"""
