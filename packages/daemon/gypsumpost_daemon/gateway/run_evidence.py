"""What a host knows about whether a request has run."""

import attrs


@attrs.define(kw_only=True)
class RunEvidence:
    """Records each send before its first byte, as a cancelled attempt reports nothing afterwards.

    :param in_flight: true while an endpoint may work on the request.
    """

    in_flight: bool = attrs.field(default=False, init=False)
    _may_have_run: bool = attrs.field(default=False, init=False)

    @property
    def may_have_run(self) -> bool:
        """False only if it is certain that no endpoint has run the request or still will."""
        return self._may_have_run or self.in_flight

    def begin_send(self) -> None:
        """Record that the request is about to be written to an endpoint."""
        self.in_flight = True

    def end_send(self, *, may_have_run: bool) -> None:
        """Record how the attempt has ended.

        :param may_have_run: false if the endpoint has certainly not run the request.
        """
        self.in_flight = False
        self._may_have_run = self._may_have_run or may_have_run
