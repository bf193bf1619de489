"""Exception raised when an invariant does not hold."""


class BrokenInvariant(Exception):
    """Stops the process because its state violates a guarantee given to callers.

    :param name: name of the invariant as in docs/design.md section 1.1.
    :param state: the values that violate it.
    """

    def __init__(self, name: str, state: str) -> None:
        super().__init__(f"invariant {name} is broken: {state}")
        self.name = name
        self.state = state
