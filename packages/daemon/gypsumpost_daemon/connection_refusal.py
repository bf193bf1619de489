"""Tells whether a connection was refused."""


def is_refusal(error: BaseException | None) -> bool:
    """Return true if an error was caused by a refused connection.

    :param error: the error; trio and httpcore chain the operating system's error as its cause.
    """
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        if isinstance(error, BaseExceptionGroup):
            return all(map(is_refusal, error.exceptions))
        error = error.__cause__ or error.__context__
    return False
