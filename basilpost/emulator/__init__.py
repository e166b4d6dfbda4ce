"""Emulated external services: platform API, VM list, weight store, model runners, plain services.

Demos, load tests and the test suite run the nodes against these instead of the real ones.
"""
