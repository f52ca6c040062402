# Every command a contributor needs. VENV may point at an existing environment.
VENV ?= .venv
PY = $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)

.PHONY: venv lint format test demo bench slopes idl

venv: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $@

lint: venv
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: venv
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: venv
	$(PY) -m features.run

demo: venv
	$(PY) -m bench.demo

bench: venv
	$(PY) -m bench.compare

slopes: venv
	$(PY) -m bench.slopes

# Needs Debian's thrift-compiler; the output is committed.
idl:
	thrift --gen py:slots --out oleanderroute/peer/gen -r idl/oleanderroute.thrift
	thrift --gen py:slots --out oleanderroute/peer/gen -r idl/gossip.thrift
