test:
	ruff check .
	ruff format --check .
	mypy
	python -m pytest

.PHONY: test
