"""Metrics of the gateway."""

from gypsumpost_daemon.telemetry.metrics import Metrics


class GatewayMetrics:
    """Counters and latency histograms of requests, attempts and resumptions.

    :param metrics: the metrics of the daemon.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._requests = metrics.add_counter(
            "gypsumpost_gateway_requests_total", "Requests by route and status.", "route", "status"
        )
        self._refusals = metrics.add_counter(
            "gypsumpost_gateway_refusals_total",
            "Requests that this host itself refused for good, or for a configuration that it may "
            "lack, by status.",
            "status",
        )
        self._attempts = metrics.add_counter(
            "gypsumpost_gateway_attempts_total",
            "Attempts by service and outcome.",
            "service",
            "end",
        )
        self._versions = metrics.add_counter(
            "gypsumpost_gateway_version_answers_total",
            "Answers of services with roll-outs, by version and outcome.",
            "service",
            "version",
            "outcome",
        )
        self._resumptions = metrics.add_counter(
            "gypsumpost_gateway_resumptions_total",
            "Streams that went on at another engine, by source of their memory.",
            "source",
        )
        self._repeated_prefills = metrics.add_counter(
            "gypsumpost_gateway_prompts_read_again_total", "Prompts that were read again."
        )
        self._crash_suspects = metrics.add_counter(
            "gypsumpost_gateway_crash_suspects_total",
            "Requests that an endpoint had when it crashed, by stage of their run.",
            "stage",
            "counts",
        )
        self._limited_requests = metrics.add_counter(
            "gypsumpost_gateway_limited_requests_total",
            "Requests of this host to endpoints that have named a limit, by what they are for.",
            "endpoint",
            "purpose",
        )
        self._peer_reports = metrics.add_counter(
            "gypsumpost_gateway_peer_reports_total",
            "Reports of peers about lost and returned endpoints, by what this host did.",
            "kind",
            "verdict",
        )
        self._permits = metrics.add_counter(
            "gypsumpost_gateway_permits_total",
            "Permits for requests to endpoints with a limit, by service and decision.",
            "service",
            "verdict",
        )
        self._prefill_turns = metrics.add_counter(
            "gypsumpost_gateway_prefill_turns_total",
            "Requests for prefill time of an engine, by service and decision.",
            "service",
            "verdict",
        )
        self._directory_replies = metrics.add_counter(
            "gypsumpost_directory_replies_total",
            "Directories sent to peers, by whether they hold all items or the changes.",
            "form",
        )
        self._directory_bytes = metrics.add_counter(
            "gypsumpost_directory_sent_bytes_total",
            "Bytes of the directories sent to peers, by whether they hold all items.",
            "form",
        )
        self._answers = metrics.add_durations(
            "gypsumpost_gateway_answer_seconds", "Time to the whole answer of a call."
        )
        self._first_events = metrics.add_durations(
            "gypsumpost_gateway_first_event_seconds", "Time to the first event of a stream."
        )
        self._pauses = metrics.add_durations(
            "gypsumpost_gateway_resume_pause_seconds", "Pause of a stream that was resumed."
        )

    def count_request(self, route: str, status: int) -> None:
        """Count a request by its final status, 0 if the response was aborted."""
        self._requests.add(route, str(status))

    def count_refusal(self, status: int) -> None:
        """Count a request that this host itself refused, also if its log line is left out."""
        self._refusals.add(str(status))

    def count_attempt(self, service: str, end: str) -> None:
        """Count an attempt by how it ended: ``answered``, ``not-run`` or ``lost``."""
        self._attempts.add(service, end)

    def count_version(self, service: str, version: str, outcome: str) -> None:
        """Count an answer of a service with a roll-out by the endpoint's version."""
        self._versions.add(service, version, outcome)

    def count_directory_reply(self, form: str, size: int) -> None:
        """Count a directory sent to a peer.

        :param form: ``all`` if it holds all items of some prefix, else ``changes``.
        :param size: its length in bytes.
        """
        self._directory_replies.add(form)
        self._directory_bytes.add(form, amount=size)

    def count_resumption(self, *, from_copy: bool) -> None:
        """Count a stream that is resumed on another engine."""
        self._resumptions.add("copy" if from_copy else "prompt")
        if not from_copy:
            self._repeated_prefills.add()

    def count_crash_suspect(self, stage: str, *, counts: bool) -> None:
        """Count a request that an endpoint had when it crashed.

        :param stage: ``reading`` or ``writing``.
        :param counts: true if the crash counts against the request.
        """
        self._crash_suspects.add(stage, "yes" if counts else "no")

    def count_limited_request(self, endpoint_id: str, purpose: str) -> None:
        """Count a request to an endpoint that limits the requests of all hosts.

        :param endpoint_id: the endpoint.
        :param purpose: what the request is for.
        """
        self._limited_requests.add(endpoint_id, purpose)

    def count_peer_report(self, kind: str, verdict: str) -> None:
        """Count a peer's report about an endpoint.

        :param kind: ``loss`` or ``return``.
        :param verdict: ``probe``, ``adopt`` or ``wait``.
        """
        self._peer_reports.add(kind, verdict)

    def count_permit(self, service: str, *, granted: bool) -> None:
        """Count a decision about a request to an endpoint with a limit.

        :param service: the service.
        :param granted: true if the request may be sent.
        """
        self._permits.add(service, "granted" if granted else "refused")

    def count_prefill_turn(self, service: str, *, granted: bool) -> None:
        """Count a request for prefill time of an engine.

        :param service: the service.
        :param granted: true if the prompt may be sent.
        """
        self._prefill_turns.add(service, "granted" if granted else "refused")

    def record_answer(self, seconds: float) -> None:
        """Record the time to the complete answer of a call."""
        self._answers.record(seconds)

    def record_first_event(self, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        self._first_events.record(seconds)

    def record_pause(self, seconds: float) -> None:
        """Record the pause of a stream that was resumed."""
        self._pauses.record(seconds)
