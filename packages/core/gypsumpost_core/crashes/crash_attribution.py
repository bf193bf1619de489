"""Decides which requests and parts of prompts have caused crashes.

A crash-causing part crashes each endpoint that begins to write an answer on it, so its requests
never survive. Sound requests that an endpoint was reading at the same time are hit by chance, and
those that share a part with them survive elsewhere. Therefore only crashes since the last survival
of a part count, the more of them are needed the more often it has survived before, and a crash that
has a known cause hardly counts against the others that were there.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from gypsumpost_core.crashes.blame import Blame
from gypsumpost_core.crashes.crash import Crash
from gypsumpost_core.crashes.crash_key import CauseKind, CrashKey
from gypsumpost_core.crashes.survivals import Survivals

REFUSED_CRASHES = 3
"""Crashes after which a request or a part is refused that is not known to have survived."""

MIN_REQUESTS = 2
"""Different requests under which endpoints crashed, before a part that they share is refused; the
repeats of one request tell nothing about its parts."""

COMMON_CAUSE_SECONDS = 0.2
"""Losses in one domain within this time are one occasion, as they may have a common cause. An
engine takes longer to read a prompt, so crashes under one request after another stay apart."""

FRESH_SECONDS = 120.0
"""Time until a crash counts half; without a fresh crash nothing is refused."""


@attrs.define(kw_only=True)
class KeyCount:
    """The occasions that count against one key.

    :param depth: position of the part in its prompts; 0 for a request.
    :param open: times of the occasions that only this key explains, among the known causes.
    :param explained: times of the other occasions.
    :param requests: fingerprints of the requests that were involved.
    """

    depth: int = 0
    open: list[float] = attrs.field(factory=list)
    explained: list[float] = attrs.field(factory=list)
    requests: set[bytes] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class CrashAttribution:
    """Finds the causes of a set of crashes.

    :param survivals: the requests that did not crash their endpoint.
    :param now: monotonic time in seconds.
    """

    survivals: Survivals
    now: float
    _explained: set[tuple[int, CrashKey]] = attrs.field(factory=set, init=False)
    _caused: set[int] = attrs.field(factory=set, init=False)

    def find_causes(self, crashes: Iterable[Crash]) -> dict[CrashKey, Blame]:
        """Return the causes, the one with the most evidence first.

        :param crashes: the known losses of endpoints.
        """
        groups = group_crashes(crashes)
        frequent = list_frequent(groups)
        causes: dict[CrashKey, Blame] = {}
        while True:
            counts = self._count(groups, frequent)
            blames = [
                blame
                for key, count in counts.items()
                if key not in causes and (blame := self._weigh(key, count)) is not None
            ]
            if not blames:
                return causes
            cause = max(blames, key=rank_blame)
            causes[cause.key] = cause
            self._explain(groups, cause.key)

    def _count(
        self, groups: Sequence[Sequence[Crash]], frequent: set[CrashKey]
    ) -> dict[CrashKey, KeyCount]:
        counts: dict[CrashKey, KeyCount] = {}
        for group in groups:
            present = set().union(*(crash.list_keys() for crash in group))
            for key in frequent & present:
                self._count_group(counts.setdefault(key, KeyCount()), key, group)
        return counts

    def _count_group(self, count: KeyCount, key: CrashKey, group: Sequence[Crash]) -> None:
        survived_at = self.survivals.get(key).at
        present = []
        for crash in group:
            containing = crash.list_containing(key) if crash.at > survived_at else []
            if containing:
                present.append(crash)
            for suspect in containing:
                count.requests.add(suspect.fingerprint)
                count.depth = suspect.depths[key]
        if not present:
            return
        open_here = [crash for crash in present if (id(crash), key) not in self._explained]
        others = [
            crash for crash in group if crash not in open_here and id(crash) not in self._caused
        ]
        fresh = [crash for crash in open_here if crash.at > self.now - FRESH_SECONDS]
        if len(fresh) > len(others):
            count.open.append(fresh[0].at)
        elif 2 * len(present) > len(group):
            count.explained.append(present[0].at)

    def _weigh(self, key: CrashKey, count: KeyCount) -> Blame | None:
        if not count.open:
            return None
        survivals = self.survivals.get(key).decay(self.now)
        times = [*count.open, *count.explained]
        blame = Blame(
            key=key,
            crashes=len(count.open),
            explained=len(count.explained),
            requests=len(count.requests),
            survivals=survivals,
            first_at=min(times),
            last_at=max(times),
            depth=count.depth,
        )
        if key.kind is CauseKind.PART and blame.requests < MIN_REQUESTS:
            return None
        return blame if blame.score >= compute_threshold(survivals) else None

    def _explain(self, groups: Sequence[Sequence[Crash]], cause: CrashKey) -> None:
        """Let the crashes under a cause count half against all else that was there.

        A request that is refused does not clear the parts that it contains: one of them may be
        what makes it crash endpoints.
        """
        for crash in (crash for group in groups for crash in group):
            containing = crash.list_containing(cause)
            if not containing:
                continue
            self._caused.add(id(crash))
            keys = crash.list_keys()
            if cause.kind is CauseKind.REQUEST:
                keys -= {key for suspect in containing for key in suspect.keys}
            self._explained.update((id(crash), key) for key in keys if key != cause)


def compute_threshold(survivals: float) -> float:
    """Return the occasions from which a request or a part is refused.

    A part of which many requests survive is hit by chance several times in a row more often.

    :param survivals: number of recent requests that did not crash their endpoint.
    """
    return REFUSED_CRASHES + math.log2(1 + survivals)


def rank_blame(blame: Blame) -> tuple[float, float, bool, int]:
    """Return the order of possible causes; the greatest is taken first.

    A part rather than a request, as it explains more; of parts that always come together the later
    one, as fewer requests share it.

    :param blame: the evidence for and against one.
    """
    is_part = blame.key.kind is CauseKind.PART
    return (blame.score, -blame.survivals, is_part, blame.depth)


def list_frequent(groups: Sequence[Sequence[Crash]]) -> set[CrashKey]:
    """Return the possible causes with enough crashes to be refused.

    :param groups: the crashes by occasion.
    """
    crashes = (crash for group in groups for crash in group)
    counts = Counter(key for crash in crashes for key in crash.list_keys())
    return {key for key, count in counts.items() if count >= REFUSED_CRASHES}


def group_crashes(crashes: Iterable[Crash]) -> list[list[Crash]]:
    """Return the crashes by occasion: those of one domain within ``COMMON_CAUSE_SECONDS``.

    :param crashes: the crashes.
    """
    groups: list[list[Crash]] = []
    for crash in sorted(crashes, key=lambda kept: (kept.failure_domain, kept.at)):
        first = groups[-1][0] if groups else None
        if (
            first is not None
            and first.failure_domain == crash.failure_domain
            and crash.at < first.at + COMMON_CAUSE_SECONDS
        ):
            groups[-1].append(crash)
        else:
            groups.append([crash])
    return groups
