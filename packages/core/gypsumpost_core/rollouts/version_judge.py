"""Judges a version by its answers against those of the other versions."""

from collections import defaultdict

import attrs

from gypsumpost_core.rollouts.bad_answers import BadAnswers, sum_answers
from gypsumpost_core.rollouts.bad_count import BadCount, count_failures, count_slow
from gypsumpost_core.rollouts.baseline import Baseline
from gypsumpost_core.rollouts.evidence_sum import EvidenceSum
from gypsumpost_core.rollouts.judgement import Judgement
from gypsumpost_core.rollouts.respect import Respect
from gypsumpost_core.rollouts.verdict import Verdict

RESPECTS = (
    # Callers retry a failed request at most a few times; more failures than this reach them.
    Respect(name="failed", count=count_failures, tolerated=0.02),
    # Slow answers mostly still arrive, and uneven load makes some slow.
    Respect(name="slow", count=count_slow, tolerated=0.1),
)
BAD_ANSWERS = 4
BAD_DEVIATIONS = 3.5
DOUBTFUL_ANSWERS = 2
DOUBTFUL_DEVIATIONS = 2.0
# A version is bad at more than one of its endpoints; a fault of one endpoint is not the version's.
OTHER_GROUPS_ANSWERS = 8
OTHER_GROUPS_FEW_ANSWERS = 3
OTHER_GROUPS_DEVIATIONS = 1.5
ONE_GROUP_BAD_ANSWERS = 12
GOOD_ANSWERS = 20
GOOD_ROUTE_ANSWERS = 3
# Routes with a smaller part of the requests may have no answer in time.
GOOD_ROUTE_PART = 0.1

Groups = dict[int, BadAnswers]


def judge_version(evidence: EvidenceSum, target_version: str) -> Judgement:
    """Judge a version by all routes together and by each route alone.

    :param evidence: the evidence of its service, summed over hosts.
    :param target_version: the version.
    :returns: the verdict; ``GOOD`` only with answers on all routes with much traffic.
    """
    own = evidence.count(lambda key: key.version == target_version)
    others = evidence.count(lambda key: key.version != target_version)
    answers = max(own.answers, own.timed)
    verdict, found = Verdict.UNKNOWN, Judgement(verdict=Verdict.UNKNOWN, answers=answers)
    for respect in RESPECTS:
        if respect.count(own).bad >= DOUBTFUL_ANSWERS and verdict is not Verdict.BAD:
            found = judge_respect(evidence, target_version, respect, found)
            verdict = found.verdict
    if verdict is Verdict.UNKNOWN and has_enough_answers(evidence, target_version, answers):
        verdict = Verdict.GOOD
    return attrs.evolve(
        found,
        verdict=verdict,
        usual_answers=own.arrivals * min(1.0, others.answers / max(1, others.arrivals)),
        reason=found.reason or f"{answers} answers as good as others",
    )


def judge_respect(
    evidence: EvidenceSum, target_version: str, respect: Respect, found: Judgement
) -> Judgement:
    """Judge a version in one respect.

    :param evidence: the evidence of its service.
    :param target_version: the version.
    :param respect: what counts as bad.
    :param found: what was found in other respects.
    :returns: the worst judgement.
    """
    for scope, groups in list_scopes(evidence, target_version, respect).items():
        verdict = judge_groups(groups, respect)
        if verdict is Verdict.UNKNOWN:
            continue
        if verdict is Verdict.BAD or found.verdict is Verdict.UNKNOWN:
            found = describe_groups(verdict, groups, found.answers, f"{respect.name} {scope}")
        if verdict is Verdict.BAD:
            break
    return found


def list_scopes(evidence: EvidenceSum, target_version: str, respect: Respect) -> dict[str, Groups]:
    """Return the answers of a version by endpoint group, for each route and for all together.

    :param evidence: the evidence of its service.
    :param target_version: the version.
    :param respect: what counts as bad.
    """
    windows: dict[str, dict[int, BadCount]] = defaultdict(dict)
    for row in evidence.rows:
        if row.key.version != target_version:
            counts = windows[row.key.route]
            counted = counts.get(row.key.window, BadCount())
            counts[row.key.window] = counted.add(respect.count(row.count))
    newest = max((row.key.window for row in evidence.rows), default=0)
    everywhere: Groups = {}
    routes: dict[str, Groups] = defaultdict(dict)
    for row in evidence.rows:
        if row.key.version != target_version:
            continue
        baseline = Baseline(windows=windows.get(row.key.route, {}))
        if row.key.window == newest and not baseline.covers(newest):
            # Reports of other hosts about the same moment are still on their way.
            continue
        bad = baseline.compare(row.key, respect.count(row.count))
        for groups in (routes[row.key.route], everywhere):
            groups[row.key.group] = groups.get(row.key.group, BadAnswers()).add(bad)
    faulty = find_faulty_group(everywhere)
    scopes = {"on all routes": everywhere}
    for route, groups in routes.items():
        scopes[f"on route {route}"] = {
            group: answers for group, answers in groups.items() if group != faulty
        }
    return scopes


def find_faulty_group(groups: Groups) -> int | None:
    """Return the endpoint group that has all bad answers of a version, ``None`` if none has.

    :param groups: the answers of the version by endpoint group.
    """
    bad = [group for group, answers in groups.items() if answers.bad]
    others = sum_answers(answers for group, answers in groups.items() if group not in bad)
    return bad[0] if len(bad) == 1 and others.answers >= OTHER_GROUPS_FEW_ANSWERS else None


def judge_groups(groups: Groups, respect: Respect) -> Verdict:
    """Return what the answers of a version's endpoint groups say in one respect.

    :param groups: its answers by endpoint group.
    :param respect: what counts as bad.
    :returns: ``BAD``, ``DOUBTFUL`` or ``UNKNOWN``.
    """
    total = sum_answers(groups.values())
    if not groups or total.excess_rate < respect.tolerated:
        return Verdict.UNKNOWN
    worst = max(groups, key=lambda group: groups[group].excess)
    others = sum_answers(answers for group, answers in groups.items() if group != worst)
    comparable = others.answers >= OTHER_GROUPS_ANSWERS
    if comparable and others.excess_rate < respect.tolerated:
        return Verdict.UNKNOWN
    if others.answers >= OTHER_GROUPS_FEW_ANSWERS and not others.bad:
        return Verdict.UNKNOWN
    is_bad = total.bad >= BAD_ANSWERS and total.deviations >= BAD_DEVIATIONS
    if comparable:
        is_bad &= others.deviations >= OTHER_GROUPS_DEVIATIONS
    else:
        is_bad &= total.bad >= ONE_GROUP_BAD_ANSWERS or others.bad >= DOUBTFUL_ANSWERS
    if is_bad:
        return Verdict.BAD
    is_doubtful = total.bad >= DOUBTFUL_ANSWERS and total.deviations >= DOUBTFUL_DEVIATIONS
    return Verdict.DOUBTFUL if is_doubtful else Verdict.UNKNOWN


def has_enough_answers(evidence: EvidenceSum, target_version: str, answers: int) -> bool:
    """Return true if a version has answers on all routes with much traffic.

    :param evidence: the evidence of its service.
    :param target_version: the version.
    :param answers: its answers on all routes.
    """
    if answers < GOOD_ANSWERS:
        return False
    others = evidence.sum_routes(lambda key: key.version != target_version)
    own = evidence.sum_routes(lambda key: key.version == target_version)
    total = sum(count.answers for count in others.values())
    return all(
        route in own and own[route].answers >= GOOD_ROUTE_ANSWERS
        for route, count in others.items()
        if count.answers >= GOOD_ROUTE_PART * total
    )


def describe_groups(verdict: Verdict, groups: Groups, answers: int, what: str) -> Judgement:
    """Return a verdict with its numbers.

    :param verdict: the verdict.
    :param groups: the answers that decide.
    :param answers: all answers of the version.
    :param what: the respect and the scope.
    """
    total = sum_answers(groups.values())
    reason = (
        f"{total.bad} of {total.answers} answers {what}; "
        f"{total.expected:.1f} expected from other versions at the same time"
    )
    return Judgement(
        verdict=verdict, answers=answers, bad=total.bad, expected=total.expected, reason=reason
    )
