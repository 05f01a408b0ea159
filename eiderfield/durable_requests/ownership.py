"""Who owns a request after its owners were lost. No I/O, no clock.

Each request of a fenced incarnation has one successor among those that the fence names, by a hash of its id;
if that one is fenced too, one among its successors, and so on.

What must never happen: two incarnations own one request. A further fence only lengthens a chain, so all who
know the same fences name the same owner, and whoever knows fewer names one that is fenced.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from zlib import crc32

from eiderfield.interface import stable_hash


def ownership_chain(
    id_: str,
    incarnation: str,
    fences: Mapping[str, Sequence[str]],
    further_successors: Sequence[Sequence[str]] = (),
) -> list[str]:
    """The incarnations that a request has belonged to, from the one that accepted it to its owner.

    `fences` holds the successors of each fenced incarnation. Two that were fenced at one moment may be each
    other's successors; a chain that finds nobody new goes on in the first of `further_successors`, and so on.
    If the last of the chain is fenced, the request has no owner yet.
    """
    chain = [incarnation]
    number = crc32(id_.encode())
    further = iter(further_successors)
    while (successors := fences.get(chain[-1])) is not None:
        while not (candidates := sorted(set(successors) - set(chain))):
            if (successors := next(further, None)) is None:
                return chain
        chain.append(max(candidates, key=lambda candidate: stable_hash(number, crc32(candidate.encode()))))
    return chain
