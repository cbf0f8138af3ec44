"""Other entry instances: which exist, which are live, and what gossip tells and learns.

Belongs here: membership among instances and the content of gossip. Does not belong here: its form
on the wire and its connections (``borders.peers``).
"""
