"""A fault in an edited list."""

import attrs


@attrs.frozen(kw_only=True)
class ListError:
    """Where an edited list is wrong and why.

    :param line: line of the file, counted from 1; 0 if the fault is in no line, such as the
        removal of an entry that is in use.
    :param field: ``entry.field``, or the name of the entry; empty for a syntax error.
    :param message: what is wrong and what is accepted.
    """

    line: int
    field: str
    message: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.field}: {self.message}"
