"""The border to callers: connections, bodies, and answers by HTTP.

Belongs here: checks of the form of a request. Does not belong here: whether it is served.
"""
