"""Every test that docs/PROMISES.md names exists."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
NAMED = re.findall(r"`([\w/]+\.py)::(\w+)`", (ROOT / "docs/PROMISES.md").read_text())


def test_the_page_names_tests():
    assert len(NAMED) > 30


@pytest.mark.parametrize(("path", "name"), sorted(set(NAMED)))
def test_a_named_test_exists(path, name):
    source = (ROOT / path).read_text()
    assert re.search(rf"^(async )?def {name}\(|^{name} = ", source, re.MULTILINE)
