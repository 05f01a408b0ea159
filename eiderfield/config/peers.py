"""The keys `peer_listen`, `peers` and `peers_all`: addresses of the dispatchers of the tier."""

from __future__ import annotations

from eiderfield.config.address import Address, parse_address
from eiderfield.config.reader import TableReader
from eiderfield.interface import Settings
from eiderfield.net.peer_settings import PeerSettings


def read_peers(root: TableReader, policy_settings: Settings, strict: bool) -> PeerSettings | None:
    """Read the addresses; return None if there are none, or if the settings do not allow gossip.

    The platform may name addresses where it forbids their use; in an operator's file that is an error.
    """
    if not (root.has("peer_listen") or root.has("peers") or root.has("peers_all")):
        return None
    if not policy_settings.gossip_allowed:
        if strict:
            raise root.error("peer_listen", "has no effect: settings.policy_limits.may_tell is not true")
        return None
    listen = root.address("peer_listen")
    peers = _read_peer_addresses(root)
    if len(peers) != policy_settings.dispatcher_count:
        count = policy_settings.dispatcher_count
        raise root.error("peers", f"names {len(peers)} dispatchers, settings.balancers {count}")
    if len(set(peers)) != len(peers):
        raise root.error("peers", "names one address twice: the sender of a message would be ambiguous")
    return PeerSettings(listen, peers, root.address("peers_all") if root.has("peers_all") else None)


def _read_peer_addresses(root: TableReader) -> tuple[Address, ...]:
    if root.raw("peers") is None:
        raise root.error("peers", "is not a list of host:port")
    texts = root.texts("peers", "host:port")
    return tuple(parse_address(text, f"peers.{index}") for index, text in enumerate(texts))
