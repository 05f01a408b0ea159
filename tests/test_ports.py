"""Ports for processes: each is free when it is given, and no two processes are given the same one."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest
from support.processes import ROOT

from eiderfield.lab.ports import BLOCK_SIZE, END_PORT, FIRST_PORT, LOOPBACK, NoPortLeftError, PortBlock

TAKES_TEN = (
    "import sys\n"
    "from eiderfield.lab.ports import free_port\n"
    "print(*(free_port() for _ in range(10)), flush=True)\n"
    "sys.stdin.read()\n"
)


@pytest.fixture
def block():
    block = PortBlock()
    yield block
    block.close()


def test_ports_lie_below_the_range_that_the_kernel_gives_out(block):
    with Path("/proc/sys/net/ipv4/ip_local_port_range").open() as file:
        kernel_first = int(file.read().split()[0])
    assert FIRST_PORT < block.take() < END_PORT <= kernel_first


def test_a_port_comes_again_only_after_all_others_of_the_block(block):
    ports = [block.take() for _ in range(BLOCK_SIZE - 1)]
    assert len(set(ports)) == BLOCK_SIZE - 1
    assert block.take() == ports[0]


def test_a_port_that_somebody_listens_on_is_not_given(block):
    ports = [block.take() for _ in range(BLOCK_SIZE - 1)]
    with socket.create_server((LOOPBACK, ports[0])):
        assert block.take() == ports[1]


def test_a_block_without_a_free_port_is_an_error(block, monkeypatch):
    monkeypatch.setattr("eiderfield.lab.ports._is_bound", lambda _sock, _port: False)
    with pytest.raises(NoPortLeftError, match="all ports of the block"):
        block.take()
    with pytest.raises(NoPortLeftError, match="all blocks"):
        PortBlock()


def test_processes_that_run_at_the_same_time_are_given_different_ports():
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
    processes = [subprocess.Popen([sys.executable, "-c", TAKES_TEN], cwd=ROOT, **pipes) for _ in range(3)]
    try:
        given = [port for process in processes for port in process.stdout.readline().split()]
    finally:
        for process in processes:
            process.communicate()
    assert len(set(given)) == 30
