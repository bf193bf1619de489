"""A reply of the administration interface."""

from collections.abc import Mapping

import attrs
import orjson

from gypsumpost_cli.command_failure import EXIT_REFUSED, EXIT_UNKNOWN, CommandFailure


@attrs.frozen(kw_only=True)
class AdminReply:
    """Status, headers and body of a reply.

    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    :param body: the complete body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def describe_failure(self) -> CommandFailure:
        """Return the failure that an error reply reports, with a readable message."""
        try:
            content = orjson.loads(self.body)
        except orjson.JSONDecodeError:
            content = {}
        if "outcome" in content:
            return _describe_outcome(content["outcome"], content["detail"])
        message = content.get("error", {}).get("message", f"HTTP status {self.status}")
        return CommandFailure(message=message, exit_code=EXIT_REFUSED)


def _describe_outcome(outcome: str, detail: dict) -> CommandFailure:
    if outcome == "refused":
        rows = [f"line {e['line']}: {e['field']}: {e['message']}" for e in detail["errors"]]
        message = "refused:\n" + "\n".join(rows)
    elif outcome == "conflict":
        message = (
            f"conflict: revision {detail['revision']} is current and differs from this edit; "
            f"show the list and edit again. Difference:\n{detail['difference']}"
        )
    elif outcome == "unknown":
        message = (
            "unknown whether the edit was accepted, because the store did not answer; "
            f"check the history before repeating it ({detail['reason']})"
        )
    else:
        message = f"not accepted, nothing was changed: {detail['reason']}"
    code = EXIT_UNKNOWN if outcome == "unknown" else EXIT_REFUSED
    return CommandFailure(message=message, exit_code=code)
