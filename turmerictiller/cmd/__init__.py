"""Command line of turmerictiller, one module per command."""
