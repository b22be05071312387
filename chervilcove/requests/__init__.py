"""Routing of requests to minions: queues, retries, hedging and balancing.

`router` is the entry point and connects the other modules. Only
`minion_clients`, `heartbeats` and `router` use sockets.
"""
