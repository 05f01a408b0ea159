"""The malformed entries of the present list, for the console and the log."""

from __future__ import annotations

from eiderfield.net.discovery.endpoint_list import EndpointList, RefusedEntry


class RefusedEntries:
    """Malformed entries, each until a later list has another entry for its worker, or is a snapshot."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._entries: tuple[RefusedEntry, ...] = ()
        self._new: list[RefusedEntry] = []  # in the last list

    def __len__(self) -> int:
        """Return the number of malformed entries."""
        return len(self._entries)

    def update(self, endpoint_list: EndpointList) -> None:
        """Record the malformed entries of a list that was applied."""
        before = set(self._entries)
        self._entries = (*self._remaining(endpoint_list), *endpoint_list.refused)
        self._new = [entry for entry in endpoint_list.refused if entry not in before]

    def take_new(self) -> list[RefusedEntry]:
        """Return the entries of the last list that were not malformed in this way before, once."""
        new, self._new = self._new, []
        return new

    def _remaining(self, endpoint_list: EndpointList) -> list[RefusedEntry]:
        """Return the entries that a list leaves in force; nameless ones belong to their list only."""
        if endpoint_list.snapshot:
            return []
        named = {endpoint.name for endpoint in endpoint_list.endpoints}
        named |= {entry.name for entry in endpoint_list.refused}
        return [entry for entry in self._entries if entry.name and entry.name not in named]
