"""Registry of named implementations of an interface."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Implementations of one behaviour, registered by name with a decorator.

    Production policies and the baselines of experiments are selected from the same registry.

    :param behaviour: name of the behaviour, used in error messages.
    """

    def __init__(self, *, behaviour: str) -> None:
        self.behaviour = behaviour
        self._factories: dict[str, Callable[..., T]] = {}

    def register(self, name: str) -> Callable[[Callable[..., T]], Callable[..., T]]:
        """Return a decorator that adds a class or factory under a name.

        :param name: the name by which settings select the implementation.
        """

        def add_factory(factory: Callable[..., T]) -> Callable[..., T]:
            if name in self._factories:
                raise ValueError(f"{self.behaviour} {name!r} is registered twice")
            self._factories[name] = factory
            return factory

        return add_factory

    def create(self, name: str, **arguments: Any) -> T:
        """Create the implementation with the given name.

        :param name: a registered name.
        :param arguments: keyword arguments of the implementation's constructor.
        :raises KeyError: if no implementation has this name.
        """
        if name not in self._factories:
            known = ", ".join(self.names())
            raise KeyError(f"unknown {self.behaviour} {name!r}; known: {known}")
        return self._factories[name](**arguments)

    def names(self) -> tuple[str, ...]:
        """Return all registered names in alphabetical order."""
        return tuple(sorted(self._factories))
