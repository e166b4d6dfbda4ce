# All set-up happens in these targets: a fresh machine needs Python 3.11 and make only.
PYTHON ?= python3
VENV ?= .venv
PY := $(VENV)/bin/python
JOBS ?= 6

.PHONY: test known-red demo lint measure setup

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q -c constraints.txt -e '.[dev]'
	touch $@

test: setup
	$(PY) -m pytest -n $(JOBS) --dist loadfile -m "not crowd"; parallel=$$?; \
	$(PY) -m pytest -m crowd; serial=$$?; \
	test $$parallel -eq 0 -a $$serial -eq 0

known-red: setup
	$(PY) -m pytest -n $(JOBS) --dist loadfile --known-red

demo: setup
	$(PY) -m basilpost demo

lint: setup
	$(PY) -m black --check -q basilpost tests
	$(PY) -m ruff check -q basilpost tests
	$(PY) -m mypy
	$(VENV)/bin/lint-imports

measure: setup
	$(PY) -m basilpost.load.measure
