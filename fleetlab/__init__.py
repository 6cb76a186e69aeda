"""A laboratory for fleets on loopback: real routers, hollow routers, and stand-ins for all other parties.

The router never imports it. `python -m fleetlab run FILE` plays an experiment, `sweep` plays it at the points
of its sweep, and `report` makes slopes, plots and the tables of docs/CAPACITY.md from the result files.
"""
