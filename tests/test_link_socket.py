"""The Unix socket over which two processes of a dispatcher find each other."""

from support.handover import Loop

from eiderfield.net.link_socket import LinkListener, connect_link


def test_socket_without_a_listener_gives_no_link_and_is_replaced(tmp_path):
    deep = tmp_path / ("d" * 120)  # longer than a Unix address holds
    deep.mkdir()
    assert connect_link(Loop(), deep / "s") is None
    ear = LinkListener(Loop(), deep / "s", lambda _link: None)
    ear.open()
    link = connect_link(Loop(), deep / "s")
    assert link is not None
    link.close()
    ear.close(unlink=False)
    assert (deep / "s").exists()
    assert connect_link(Loop(), deep / "s") is None
    again = LinkListener(Loop(), deep / "s", lambda _link: None)
    again.open()  # in the place of the dead one
    again.close(unlink=True)
    assert not list(deep.iterdir())
