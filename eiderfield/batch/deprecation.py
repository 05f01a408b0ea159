"""Old names of attributes, methods and keyword arguments that stay usable with a `DeprecationWarning`."""

from __future__ import annotations

import functools
import warnings
from collections.abc import Callable
from typing import Any, TypeVar

Owner = TypeVar("Owner", bound=type)
Function = TypeVar("Function", bound=Callable[..., Any])

CALLER = 3  # stack level of the code that used the old name, seen from `warn_renamed`


class DeprecatedAlias:
    """A descriptor that stands for an attribute under its old name."""

    def __init__(self, owner: str, old: str, new: str) -> None:
        """Names both attributes as users of `owner` know them."""
        self._owner = owner
        self._old = old
        self._new = new

    def __get__(self, instance: object, owner: type | None = None) -> Any:
        """The attribute under its new name, with a warning."""
        warn_renamed(f"{self._owner}.{self._old}", f"{self._owner}.{self._new}")
        return getattr(owner if instance is None else instance, self._new)


def deprecated_aliases(**new_names: str) -> Callable[[Owner], Owner]:
    """A class decorator that adds old names, each with the name that replaces it."""

    def add_aliases(owner: Owner) -> Owner:
        for old, new in new_names.items():
            setattr(owner, old, DeprecatedAlias(owner.__name__, old, new))
        return owner

    return add_aliases


def deprecated_keywords(**new_names: str) -> Callable[[Function], Function]:
    """A decorator for functions some of whose arguments were renamed."""

    def accept_old(function: Function) -> Function:
        @functools.wraps(function)
        def renamed(*args: Any, **kwargs: Any) -> Any:
            for old, new in new_names.items():
                if old in kwargs:
                    warn_renamed(f"the argument {old}", new)
                    kwargs[new] = kwargs.pop(old)
            return function(*args, **kwargs)

        return renamed  # type: ignore[return-value]  # wraps() keeps the signature, which mypy can't see

    return accept_old


def warn_renamed(old: str, new: str) -> None:
    """Warns the code that used an old name."""
    warnings.warn(f"{old} is deprecated, use {new}", DeprecationWarning, stacklevel=CALLER)
