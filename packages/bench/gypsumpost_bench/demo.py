"""End-to-end demonstration with failures: ``python -m gypsumpost_bench.demo``."""

import sys

import trio

from gypsumpost_bench.charge_client import ChargeClient, count_executions
from gypsumpost_bench.deployment import Deployment
from gypsumpost_bench.deployment_lists import KEYS
from gypsumpost_bench.deployment_plan import DeploymentPlan
from gypsumpost_cli.answer import Answer
from gypsumpost_cli.answer_check import find_answer_error
from gypsumpost_cli.answer_client import AnswerClient

TIME_LIMIT_SECONDS = 50.0

REQUESTS = 9
MAX_TOKENS = 160
CHARGES = 40
CHARGE_INTERVAL = 0.1
KILL_ENGINE_AFTER = 1.5
KILL_DAEMON_AFTER = 3.5
"""Seconds after the requests are sent; both kills fall within the answers, which take about 7 s."""


async def run_demo() -> bool:
    """Send requests, kill an engine and a daemon, and print what the callers received.

    :returns: true if every answer is whole and correct and the charges pass ``print_charges``.
    """
    plan = DeploymentPlan(token_gaps=(0.042, 0.042, 0.03, 0.06))
    with trio.fail_after(TIME_LIMIT_SECONDS):
        return await show_answers(plan)


async def show_answers(plan: DeploymentPlan) -> bool:
    """Send requests to a deployment and kill an engine and a daemon while answers are streamed.

    :param plan: the deployment.
    :returns: true if every answer is whole and correct and the charges pass ``print_charges``.
    """
    async with Deployment(plan=plan) as deployment:
        print(f"{len(deployment.daemons)} daemons and {len(deployment.engines)} engines running")
        client = AnswerClient(addresses=deployment.list_addresses(), key=KEYS["laurentides"])
        charges = ChargeClient(addresses=deployment.list_addresses(), key=KEYS["laurentides"])
        answers: list[Answer] = []
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                nursery.start_soon(request_answer, client, number, answers)
            nursery.start_soon(make_charges, charges)
            await trio.sleep(KILL_ENGINE_AFTER)
            print("SIGKILL to engine-1")
            deployment.engines["engine-1"].kill()
            await trio.sleep(KILL_DAEMON_AFTER - KILL_ENGINE_AFTER)
            print("SIGKILL to d2-host1")
            deployment.daemons["d2-host1"].kill()
        await client.aclose()
        counts = await count_executions([s.address for s in deployment.services.values()])
    return print_charges(charges, counts) and print_answers(answers)


async def request_answer(client: AnswerClient, number: int, answers: list[Answer]) -> None:
    """Request one answer and append it to a list.

    :param client: the caller.
    :param number: makes each prompt different; every third request is a chat.
    :param answers: the list.
    """
    body = {"model": "summary", "max_tokens": MAX_TOKENS, "ignore_eos": True}
    if number % 3:
        body["prompt"] = f"Summarise incident {number}."
    else:
        body["messages"] = [{"role": "user", "content": f"Summarise incident {number}."}]
    answers.append(await client.generate(body, chat=number % 3 == 0))


async def make_charges(charges: ChargeClient) -> None:
    """Make gate charges at a fixed interval, while an engine and a daemon are killed.

    :param charges: the caller.
    """
    async with trio.open_nursery() as nursery:
        for number in range(CHARGES):
            nursery.start_soon(charges.charge, number)
            await trio.sleep(CHARGE_INTERVAL)


def print_charges(charges: ChargeClient, counts: dict[str, int]) -> bool:
    """Print the outcomes of the gate charges.

    :param charges: the caller.
    :param counts: executions that the services counted for each call.
    :returns: true if no charge was made twice, none reported as ``not_run`` was made, and at least
        one succeeded.
    """
    duplicates = sum(count > 1 for count in counts.values())
    false_not_run = sum(charges.outcomes.get(i) == "not_run" for i in counts)
    succeeded = sum(outcome == "run" for outcome in charges.outcomes.values())
    total = len(charges.outcomes)
    print(
        f"{total} gate charges: {succeeded} done, {duplicates} made twice, "
        f"{false_not_run} with a false not_run"
    )
    return duplicates == 0 and false_not_run == 0 and succeeded > 0


def print_answers(answers: list[Answer]) -> bool:
    """Print a line for each answer.

    :param answers: what the callers received.
    :returns: true if all are correct.
    """
    correct = True
    for answer in answers:
        error = find_answer_error(answer, MAX_TOKENS)
        correct = correct and error is None
        print(
            f"{answer.request_id}  {len(answer.token_ids):4} tokens  "
            f"longest gap {answer.longest_gap:.3f} s  reconnects {answer.reconnects}  "
            f"{error or 'whole and correct'}"
        )
    return correct


if __name__ == "__main__":
    sys.exit(0 if trio.run(run_demo) else 1)
