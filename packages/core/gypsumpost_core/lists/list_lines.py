"""Line numbers of entries and fields in a list file."""

import re

HEADER = re.compile(r'\s*\[\s*(?:"([^"]*)"|\'([^\']*)\'|([^\]\s]+))\s*\]')
KEY = re.compile(r'\s*"?([A-Za-z0-9_-]+)"?\s*=')


class ListLines:
    """Index of the lines of entry headers and fields.

    :param text: content of the file.
    """

    def __init__(self, *, text: str) -> None:
        self._lines: dict[tuple[str, str], int] = {}
        entry = ""
        for number, line in enumerate(text.splitlines(), start=1):
            if header := HEADER.match(line):
                entry = next(group for group in header.groups() if group is not None)
                self._lines.setdefault((entry, ""), number)
            elif key := KEY.match(line):
                self._lines.setdefault((entry, key[1]), number)

    def find(self, entry: str, field: str = "") -> int:
        """Return the line of a field, else the line of the entry's header, else 0.

        :param entry: name of the entry.
        :param field: name of the field.
        """
        header = self._lines.get((entry, ""), self._lines.get(("", entry), 0))
        return self._lines.get((entry, field), header)
