"""Whatever the grammar of the settings language allows is loaded or refused, and never ends the program."""

import pytest

from ironhinge.settings.errors import InvalidSettingsError
from ironhinge.settings.load import load_texts

ORDER_OPERATORS = ["<", "<=", ">", ">="]


@pytest.mark.parametrize("operator", ORDER_OPERATORS)
def test_null_has_no_order(operator):
    """Guards the comparison of a number with null, which ended the program."""
    with pytest.raises(InvalidSettingsError, match="a bound of null"):
        load_texts([("f", f"disk: entries: int & {operator}null & 3")])
