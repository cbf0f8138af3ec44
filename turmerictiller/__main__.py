"""Entry point of ``python -m turmerictiller``."""

from __future__ import annotations

from turmerictiller.cmd.main import main

if __name__ == "__main__":
    main()
