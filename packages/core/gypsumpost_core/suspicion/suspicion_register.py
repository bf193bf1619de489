"""Records of the suspected requests of one failure domain."""

from collections import OrderedDict

import attrs

from gypsumpost_core.suspicion.engine_death import EngineDeath
from gypsumpost_core.suspicion.suspicion_record import SuspicionRecord
from gypsumpost_core.suspicion.suspicion_report import SuspicionReport
from gypsumpost_core.suspicion.suspicion_settings import SuspicionSettings


@attrs.define(kw_only=True)
class SuspicionRegister:
    """A bounded number of records, each with a deadline; all times are Unix times in seconds.

    :param settings: settings of the crash suspicion.
    """

    settings: SuspicionSettings
    _records: OrderedDict[str, SuspicionRecord] = attrs.field(factory=OrderedDict)
    _unreported: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def count_deaths(self, fingerprint: str, now: float) -> int:
        """Return the number of deaths that count against a request."""
        record = self._records.get(fingerprint)
        if record is None or now >= record.expires_at:
            return 0
        return len(record.deaths)

    def hold_engine(self, fingerprint: str, engine: str, until: float, now: float) -> None:
        """Hold an engine for an isolated run of a request, and queue a report about it."""
        record = self._get_record(fingerprint, now)
        record.held_engine, record.held_until, record.held_here = engine, until, True
        self._unreported[fingerprint] = None

    def is_held_elsewhere(self, fingerprint: str, now: float) -> bool:
        """Return true while another daemon holds an engine for an isolated run of a request."""
        record = self._records.get(fingerprint)
        return record is not None and not record.held_here and now < record.held_until

    def list_held_elsewhere(self, now: float) -> frozenset[str]:
        """Return the engines that other daemons hold for isolated runs."""
        records = self._records.values()
        held = (r for r in records if not r.held_here and now < r.held_until)
        return frozenset(record.held_engine for record in held)

    def count_recent_deaths(self, fingerprint: str, now: float) -> int:
        """Return the number of deaths within the common cause window, discounted ones included."""
        record = self._records.get(fingerprint)
        oldest = now - self.settings.common_cause_window
        return len(record.list_since(oldest)) if record is not None else 0

    def add_death(self, fingerprint: str, death: EngineDeath, now: float) -> None:
        """Count a death against a request and queue a report about it."""
        record = self._get_record(fingerprint, now)
        if record.add(death):
            record.expires_at = now + self._get_lifetime(record)
            self._unreported[fingerprint] = None

    def discount(self, keys: set[tuple[str, str]], now: float) -> None:
        """Stop counting deaths that had a common cause; once for each request.

        :param keys: all deaths within the common cause window.
        :param now: Unix time in seconds.
        """
        until = now + self.settings.common_cause_window
        for record in self._records.values():
            others = len(keys - record.deaths.keys())
            earlier = len(record.deaths.keys() - keys)
            # Deaths of a request that is isolated for earlier deaths always count. In the
            # experiment, unrelated crashes at the same time otherwise cost a fourth engine.
            suspected = earlier >= self.settings.isolate_deaths
            if others >= self.settings.common_cause_others and not suspected:
                record.discount(keys, now, until)

    def drop_attributed(self) -> None:
        """Remove the deaths that are attributed to quarantined requests from all other records."""
        quarantined = [r for r in self._records.values() if self._is_quarantined(r)]
        attributed = {key for record in quarantined for key in record.deaths}
        for record in self._records.values():
            if not self._is_quarantined(record):
                record.drop(attributed)

    def clear(self, fingerprint: str, now: float) -> None:
        """Remove the deaths of a request whose run has shown that it does not crash engines."""
        if fingerprint in self._records:
            self._records[fingerprint].clear(now)
            self._unreported.pop(fingerprint, None)

    def list_reports(self, now: float) -> list[SuspicionReport]:
        """Return the reports to send to the other daemons of the domain, each once."""
        names = list(self._unreported)[: self.settings.report_limit]
        for name in names:
            del self._unreported[name]
        records = [self._records[name] for name in names if name in self._records]
        return [self._create_report(record) for record in records if record.deaths]

    def apply_report(self, report: SuspicionReport, now: float) -> None:
        """Apply a report of another daemon."""
        if now >= report.expires_at:
            return
        record = self._get_record(report.fingerprint, now)
        added = [record.add(d) for d in report.deaths[: self.settings.quarantine_deaths]]
        if now < report.held_until:
            limit = now + 2 * self.settings.trigger_window
            record.held_engine, record.held_here = report.held_engine, False
            record.held_until = min(report.held_until, limit)
        if any(added):
            latest = now + self._get_lifetime(record)
            record.expires_at = min(max(record.expires_at, report.expires_at), latest)
        self.drop_attributed()

    def expire(self, now: float) -> None:
        """Delete the records whose deadline has passed."""
        expired = [name for name, record in self._records.items() if now >= record.expires_at]
        for name in expired:
            del self._records[name]

    def __len__(self) -> int:
        return len(self._records)

    def _get_record(self, fingerprint: str, now: float) -> SuspicionRecord:
        record = self._records.get(fingerprint)
        if record is not None and now < record.expires_at:
            return record
        if len(self._records) >= self.settings.record_limit:
            self.expire(now)
        if len(self._records) >= self.settings.record_limit:
            first = min(self._records.values(), key=lambda r: (len(r.deaths), r.expires_at))
            del self._records[first.fingerprint]
        record = SuspicionRecord(fingerprint=fingerprint)
        record.expires_at = now + self.settings.suspicion_time
        self._records[fingerprint] = record
        return record

    def _is_quarantined(self, record: SuspicionRecord) -> bool:
        return len(record.deaths) >= self.settings.quarantine_deaths

    def _get_lifetime(self, record: SuspicionRecord) -> float:
        quarantined = self._is_quarantined(record)
        return self.settings.quarantine_time if quarantined else self.settings.suspicion_time

    def _create_report(self, record: SuspicionRecord) -> SuspicionReport:
        deaths = tuple(record.deaths.values())[-self.settings.quarantine_deaths :]
        return SuspicionReport(
            fingerprint=record.fingerprint,
            deaths=deaths,
            expires_at=record.expires_at,
            held_engine=record.held_engine if record.held_here else "",
            held_until=record.held_until if record.held_here else 0.0,
        )
