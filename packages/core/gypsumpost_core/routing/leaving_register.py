"""Which endpoints are leaving, by sources other than the platform's list."""

import attrs


@attrs.define(kw_only=True)
class LeavingRegister:
    """Endpoints that an operator, a peer or the engine itself has declared as leaving.

    The platform's list lags, so a list that still says live right after the declaration ends
    nothing. It does so after it has shown the stop, or once it is older than its greatest lag.

    :param list_lag: greatest lag of the platform's list in seconds.
    """

    list_lag: float
    _believed_from: dict[str, float] = attrs.field(factory=dict)

    def mark(self, name: str, now: float) -> None:
        """Declare an endpoint as leaving."""
        self._believed_from[name] = now + self.list_lag

    def observe_list(self, live: set[str], now: float) -> None:
        """Take in the names that the platform lists as live."""
        for name, believed_from in list(self._believed_from.items()):
            if name not in live:
                self._believed_from[name] = now
            elif now > believed_from:
                del self._believed_from[name]

    def observe_restart(self, name: str) -> None:
        """Note that an endpoint's boot id has changed."""
        self._believed_from.pop(name, None)

    def __contains__(self, name: object) -> bool:
        return name in self._believed_from
