"""Tests of the Unix socket at which the next process of a dispatcher connects."""

from support.handover import Loop

from eiderfield.net.link_socket import LinkListener, connect_link


def test_socket_without_a_listener_gives_no_link_and_is_replaced(tmp_path):
    directory = tmp_path / ("d" * 120)  # too long for a Unix address
    directory.mkdir()
    assert connect_link(Loop(), directory / "s") is None
    listener = LinkListener(Loop(), directory / "s", lambda _link: None)
    listener.open()
    link = connect_link(Loop(), directory / "s")
    assert link is not None
    link.close()
    listener.close(unlink=False)
    assert (directory / "s").exists()
    assert connect_link(Loop(), directory / "s") is None
    second_listener = LinkListener(Loop(), directory / "s", lambda _link: None)
    second_listener.open()  # replaces the socket of the closed listener
    second_listener.close(unlink=True)
    assert not list(directory.iterdir())
