"""Measuring tools and the demo."""
