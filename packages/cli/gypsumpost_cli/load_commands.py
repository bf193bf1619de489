"""The command that sends a load."""

from pathlib import Path

import orjson
import trio
from result import Err, Ok, Result

from gypsumpost_cli.command_failure import EXIT_REFUSED, EXIT_UNREACHABLE, CommandFailure
from gypsumpost_cli.command_registry import COMMANDS
from gypsumpost_cli.load_plan import LoadPlan
from gypsumpost_cli.load_report import describe_results, format_results
from gypsumpost_cli.load_runner import LoadRunner
from gypsumpost_cli.load_workspace import parse_load_workspaces


@COMMANDS.register("load")
def send_load(
    *,
    addresses: str,
    workspaces: str,
    rate: float = 5.0,
    seconds: float = 30.0,
    grace: float = 60.0,
    seed: int = 0,
    model: str = "summary",
    long_share: float = 0.04,
    short_tokens: int = 60,
    long_tokens: int = 600,
    prefixes: int = 20,
    service: str = "gate",
    gate_rate: float = 0.0,
    json: Path | None = None,
) -> Result[str, CommandFailure]:
    """Send generations at a rate, check each answer and print what callers measured.

    Requests arrive with exponential gaps whether or not earlier ones have ended. The check of the
    answers needs engines that write the token chain of the stand-in. Exit status 1 means that an
    answer was wrong.

    :param addresses: ip:port of the callers' listeners, separated by commas
    :param workspaces: name=key:weight pairs separated by commas
    :param rate: generations per second
    :param seconds: how long requests arrive
    :param grace: seconds after the last arrival until open requests are given up
    :param seed: seed of the arrivals and of the mix
    :param model: model of the generations
    :param long_share: share of long generations, from 0 to 1
    :param short_tokens: output tokens of a short generation
    :param long_tokens: output tokens of a long generation
    :param prefixes: number of prompt prefixes that the generations share
    :param service: plain service of the gate calls
    :param gate_rate: gate calls per second
    :param json: write the results to this file too
    """
    parsed_workspaces = parse_load_workspaces(workspaces)
    if isinstance(parsed_workspaces, Err):
        message = f"--workspaces: {parsed_workspaces.err_value}"
        return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED))
    plan = LoadPlan(
        rate=rate,
        seconds=seconds,
        workspaces=parsed_workspaces.ok_value,
        seed=seed,
        model=model,
        long_share=long_share,
        short_tokens=short_tokens,
        long_tokens=long_tokens,
        prefixes=prefixes,
        service=service,
        gate_rate=gate_rate,
    )
    flag_errors = _describe_invalid_flags(plan, grace)
    if flag_errors:
        return Err(CommandFailure(message=flag_errors, exit_code=EXIT_REFUSED))
    runner = LoadRunner(plan=plan, addresses=addresses.split(","), grace=grace)
    trio.run(runner.run)
    return _report(runner, json)


def _describe_invalid_flags(plan: LoadPlan, grace: float) -> str:
    checks = {
        "--rate: must be 0 or more and finite": 0 <= plan.rate < float("inf"),
        "--gate-rate: must be 0 or more and finite": 0 <= plan.gate_rate < float("inf"),
        "--seconds: must be more than 0 and finite": 0 < plan.seconds < float("inf"),
        "--grace: must be 0 or more and finite": 0 <= grace < float("inf"),
        "--long-share: must be from 0 to 1": 0 <= plan.long_share <= 1,
        "--short-tokens and --long-tokens: must be 1 or more": (
            min(plan.short_tokens, plan.long_tokens) >= 1
        ),
    }
    return "\n".join(message for message, is_valid in checks.items() if not is_valid)


def _report(runner: LoadRunner, json: Path | None) -> Result[str, CommandFailure]:
    report = describe_results(runner.results, runner.seconds)
    text = format_results(report)
    if json is not None:
        try:
            json.write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2) + b"\n")
        except OSError as error:
            message = f"{text}\n--json: {error}"
            return Err(CommandFailure(message=message, exit_code=EXIT_UNREACHABLE))
    if runner.results.wrong:
        message = f"{runner.results.wrong} answers were wrong\n{text}"
        return Err(CommandFailure(message=message, exit_code=EXIT_REFUSED))
    return Ok(text)
