"""The owner of a request after incarnations were lost. Performs no I/O and reads no clock.

A fence names the successors of an incarnation. A hash of the request id selects the one that owns a request;
if that successor is fenced too, one of its own successors is selected in the same way, and so on.

Invariant: no two incarnations own one request. A further fence only lengthens the chain, so members that know
the same fences select the same owner, and a member that knows fewer fences selects one that is fenced.
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
    """Return the incarnations that a request has belonged to, from the one that accepted it to its owner.

    `fences` maps each fenced incarnation to its successors. Two incarnations that were fenced at the same
    time may name each other as successors: a chain that finds no new successor continues in the first list of
    `further_successors`, then in the second one, and so on. If the last incarnation of the chain is fenced,
    the request has no owner yet.
    """
    chain = [incarnation]
    id_hash = crc32(id_.encode())
    further_lists = iter(further_successors)
    while (successors := fences.get(chain[-1])) is not None:
        while not (candidates := sorted(set(successors) - set(chain))):
            if (successors := next(further_lists, None)) is None:
                return chain
        chain.append(max(candidates, key=lambda candidate: stable_hash(id_hash, crc32(candidate.encode()))))
    return chain
