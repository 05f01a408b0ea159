"""The addresses on which the processes of a run listen, and the proxied links between them."""

from __future__ import annotations

from dataclasses import dataclass

from eiderfield.config.address import Address, parse_address
from eiderfield.lab.fleet.addresses import AddressPool
from eiderfield.lab.fleet.scenario import Scenario


@dataclass(frozen=True, slots=True)
class Topology:
    """All addresses of a run. A link is named by its two ends: `n0>w1`, `n0>source`, `c>n0` (clients)."""

    listen: dict[str, str]  # by dispatcher
    worker_ports: dict[str, dict[str, str]]  # by dispatcher and worker
    worker_addresses: dict[str, dict[str, str]]  # by dispatcher and worker: the proxy's listener for the port
    discovery_ports: dict[str, str]  # by dispatcher
    links: dict[str, tuple[str, str]]  # by name: the address on which the proxy listens, the target

    @classmethod
    def of(cls, scenario: Scenario, pool: AddressPool) -> Topology:
        """Take an address from the pool for each listener of the scenario."""
        dispatchers, workers = scenario.dispatcher_names, scenario.worker_names
        worker_ports = {name: {worker: pool.take() for worker in workers} for name in dispatchers}
        discovery_ports = {name: pool.take() for name in dispatchers}
        listen = {name: pool.take() for name in dispatchers}
        links: dict[str, tuple[str, str]] = {}
        worker_addresses: dict[str, dict[str, str]] = {}
        for name in dispatchers:
            worker_addresses[name] = {worker: pool.take() for worker in workers}
            for worker, address in worker_addresses[name].items():
                links[f"{name}>{worker}"] = (address, worker_ports[name][worker])
            links[f"{name}>source"] = (pool.take(), discovery_ports[name])
            links[f"c>{name}"] = (pool.take(), listen[name])
        return cls(listen, worker_ports, worker_addresses, discovery_ports, links)

    def discovery_address(self, dispatcher: str) -> str:
        """Return the address at which a dispatcher reaches discovery, through the proxy."""
        return self.links[f"{dispatcher}>source"][0]

    def client_addresses(self) -> dict[str, Address]:
        """Return the address at which clients reach each dispatcher, through the proxy."""
        return {name: parse_address(self.links[f"c>{name}"][0], name) for name in self.listen}
