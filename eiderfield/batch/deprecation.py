"""Old names of attributes, methods and keyword arguments that stay usable with a `DeprecationWarning`."""

from __future__ import annotations

import functools
import warnings
from collections.abc import Callable
from typing import Any, ParamSpec, TypeVar

Owner = TypeVar("Owner", bound=type)
Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")

CALLER_STACK_LEVEL = 3  # of the code that used the old name, seen from `warn_renamed`


class DeprecatedAlias:
    """A descriptor that stands for an attribute under its old name."""

    def __init__(self, owner: str, old: str, new: str) -> None:
        """Create an alias of the attribute `new` of the class named `owner`."""
        self._owner = owner
        self._old = old
        self._new = new

    def __get__(self, instance: object, owner: type | None = None) -> Any:
        """Return the value of the renamed attribute, with a warning."""
        warn_renamed(f"{self._owner}.{self._old}", f"{self._owner}.{self._new}")
        return getattr(owner if instance is None else instance, self._new)


def deprecated_aliases(**new_names: str) -> Callable[[Owner], Owner]:
    """Return a class decorator that adds old names of attributes, each mapped to its new one."""

    def add_aliases(owner: Owner) -> Owner:
        for old, new in new_names.items():
            setattr(owner, old, DeprecatedAlias(owner.__name__, old, new))
        return owner

    return add_aliases


def deprecated_keywords(
    **new_names: str,
) -> Callable[[Callable[Parameters, Result]], Callable[Parameters, Result]]:
    """Return a decorator that accepts old names of keyword arguments, each mapped to its new one."""

    def accept_old(function: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
        @functools.wraps(function)
        def renamed(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Result:
            for old, new in new_names.items():
                if old in kwargs:
                    warn_renamed(f"the argument {old}", new)
                    kwargs[new] = kwargs.pop(old)
            return function(*args, **kwargs)

        return renamed

    return accept_old


def warn_renamed(old: str, new: str) -> None:
    """Warn about the use of an old name, at the line that used it."""
    warnings.warn(f"{old} is deprecated, use {new}", DeprecationWarning, stacklevel=CALLER_STACK_LEVEL)
