"""An error in an edited list."""

import attrs


@attrs.frozen(kw_only=True)
class ListError:
    """Position and description of an error in an edited list.

    :param line: line of the file, counted from 1; 0 if the error belongs to no line, such as the
        removal of an entry that is in use.
    :param field: ``entry.field``, or the name of the entry; empty for a syntax error.
    :param message: the error and the accepted values.
    """

    line: int
    field: str
    message: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.field}: {self.message}"
