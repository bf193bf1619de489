"""Checks a file of one of the operators' two lists."""

from result import Err, Ok, Result

from gypsumpost_cli.check_forms import CHECK_FORMS
from gypsumpost_cli.checked_files import CheckedFiles
from gypsumpost_core.checks.check_report import CheckReport
from gypsumpost_core.checks.list_checks import ListsSubject, check_list
from gypsumpost_core.checks.list_differences import compare_lists
from gypsumpost_core.lists.list_difference import compute_difference
from gypsumpost_core.lists.list_entry import ListEntry
from gypsumpost_core.lists.list_file import parse_list
from gypsumpost_core.lists.list_kind import ListKind
from gypsumpost_core.lists.list_lines import ListLines
from gypsumpost_core.lists.lists import Lists

OTHER_KIND = {ListKind.PLANS: ListKind.ALLOWANCES, ListKind.ALLOWANCES: ListKind.PLANS}


@CHECK_FORMS.register(ListKind.PLANS.value)
def check_plans(*, files: CheckedFiles) -> Result[CheckReport, str]:
    """Return what the checks of the plans find.

    :param files: the contents of the files.
    """
    return _check_list(ListKind.PLANS, files)


@CHECK_FORMS.register(ListKind.ALLOWANCES.value)
def check_allowances(*, files: CheckedFiles) -> Result[CheckReport, str]:
    """Return what the checks of the allowances find.

    :param files: the contents of the files.
    """
    return _check_list(ListKind.ALLOWANCES, files)


def _check_list(kind: ListKind, files: CheckedFiles) -> Result[CheckReport, str]:
    lists = Lists()
    if files.other_list is not None:
        other = read_list(OTHER_KIND[kind], files.other_list)
        if isinstance(other, Err):
            return Err(f"the other list: {other.err_value}")
        lists = lists.replace(OTHER_KIND[kind], other.ok_value)
    read = read_list(kind, files.content)
    if isinstance(read, Err):
        return read
    edited = lists.replace(kind, read.ok_value)
    in_force = edited
    if files.in_force is not None:
        former = read_list(kind, files.in_force)
        if isinstance(former, Err):
            return Err(f"the version in force: {former.err_value}")
        in_force = lists.replace(kind, former.ok_value)
    subject = ListsSubject(
        lists=edited,
        lines=ListLines(text=files.content.decode()),
        complete=files.other_list is not None,
        edits=compute_difference(in_force, edited),
    )
    return Ok(
        CheckReport(findings=check_list(subject), differences=compare_lists(in_force, edited))
    )


def read_list(kind: ListKind, content: bytes) -> Result[list[ListEntry], str]:
    """Return the entries of a list, or all errors in it.

    :param kind: the list.
    :param content: content of the file.
    """
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        return Err(f"not valid UTF-8: {error}")
    return parse_list(kind, text).map_err(lambda errors: "\n".join(map(str, errors)))
