# VENV may point to an existing environment that holds requirements.txt.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.requirements.stamp

.PHONY: setup format lint types test demo measure load soak binary test-binary wire clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-run.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

format: setup
	$(PYTHON) -m black turmerictiller standins bench soak tests
	$(PYTHON) -m ruff check --fix turmerictiller standins bench soak tests

lint: setup
	$(PYTHON) -m black --check turmerictiller standins bench soak tests
	$(PYTHON) -m ruff check turmerictiller standins bench soak tests

types: setup
	$(PYTHON) -m mypy

test: setup
	$(PYTHON) -m pytest

demo: setup
	$(PYTHON) -m bench.demo

measure: setup
	$(PYTHON) -m bench.measure $(ARGS)

load: setup
	$(PYTHON) -m bench.load $(ARGS)

# make soak ARGS="--seed 1 --seeds 10 --seconds 15"
soak: setup
	$(PYTHON) -m soak.run $(ARGS)

# Only pinned packages go into the file. Without debug symbols it takes half the memory, because
# instances without disks unpack it under /dev/shm.
binary: setup
	rm -rf build dist/turmerictiller
	mkdir -p dist
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-compile \
		--target build/site . -r requirements-run.txt
	find build/site -name '*.so' -exec strip --strip-unneeded {} +
	rm -rf build/site/bin
	$(PYTHON) -m shiv --site-packages build/site --compressed --root /dev/shm/turmerictiller \
		-p '/usr/bin/env python3' -e turmerictiller.cmd.main:main -o dist/turmerictiller

# Runs the one file as instances do.
test-binary: binary
	$(PYTHON) -m pytest tests/binary_checks.py

# Needs the thrift compiler 0.17 or newer; its output is committed.
wire: turmerictiller/peers.thrift turmerictiller/instances.thrift
	for file in $^; do thrift --gen py:slots,package_prefix=turmerictiller.wire. -out turmerictiller/wire $$file; done

clean:
	rm -rf build dist
