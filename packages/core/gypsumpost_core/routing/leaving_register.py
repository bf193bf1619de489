"""Endpoints marked as leaving by sources other than the platform's list."""

import attrs


@attrs.define(kw_only=True)
class LeavingRegister:
    """Endpoints that an operator, a peer or the engine itself has marked as leaving.

    The platform's list lags, so a list that shows the endpoint as live soon after the mark does not
    remove it. It removes the mark if an earlier list no longer showed the endpoint as live, or if
    the maximum lag has passed since the mark.

    :param list_lag: maximum lag of the platform's list in seconds.
    """

    list_lag: float
    _list_trusted_from: dict[str, float] = attrs.field(factory=dict)

    def mark(self, name: str, now: float) -> None:
        """Mark an endpoint as leaving."""
        self._list_trusted_from[name] = now + self.list_lag

    def observe_list(self, live: set[str], now: float) -> None:
        """Process the names of the endpoints that the platform lists as live."""
        for name, trusted_from in list(self._list_trusted_from.items()):
            if name not in live:
                self._list_trusted_from[name] = now
            elif now > trusted_from:
                del self._list_trusted_from[name]

    def observe_restart(self, name: str) -> None:
        """Remove the mark of an endpoint whose boot id has changed."""
        self._list_trusted_from.pop(name, None)

    def __contains__(self, name: object) -> bool:
        return name in self._list_trusted_from
