"""Keys of addresses and prefixes by which connections per source are counted."""

import pytest

from eiderfield.connections.sources import prefix_key, source_keys

PREFIX_V4, PREFIX_V6 = 24, 48


def keys(address):
    return source_keys(address, PREFIX_V4, PREFIX_V6)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ("::ffff:192.0.2.7", "192.0.2.7"),
        ("fe80::1%eth0", "fe80::1"),
        ("2001:db8:1:2::1", "2001:db8:1:2:ffff::9"),
    ],
    ids=["mapped IPv4", "scope", "host of one /64"],
)
def test_source_keys_of_equivalent_addresses_are_equal(first, second):
    assert keys(first) == keys(second)


@pytest.mark.parametrize(
    ("first", "second"),
    [("192.0.2.7", "192.0.2.200"), ("2001:db8:1:2::1", "2001:db8:1:3::1")],
)
def test_source_keys_of_same_prefix_differ_in_address_alone(first, second):
    assert keys(first).prefix == keys(second).prefix
    assert keys(first).address != keys(second).address


@pytest.mark.parametrize(
    ("first", "second"),
    [("192.0.2.7", "192.0.3.7"), ("2001:db8:1:2::1", "2001:db8:2::1"), ("2001:db8:1:3::1", "2001:db8:2::1")],
)
def test_source_keys_of_different_prefixes_differ_in_prefix(first, second):
    assert keys(first).prefix != keys(second).prefix


def test_source_keys_of_both_families_with_longest_prefixes_are_distinct():
    addresses = ("0.0.0.0", "::", "0.0.0.1", "::1:0:0:0:0")
    assert len({source_keys(address, 32, 64) for address in addresses}) == len(addresses)


@pytest.mark.parametrize("text", ["", "phone", "1.2.3", "1::2::3"])
def test_source_keys_of_malformed_address_raises(text):
    with pytest.raises(ValueError, match="not an address"):
        keys(text)


@pytest.mark.parametrize("address", ["192.0.2.7", "2001:db8:1:2::1"])
def test_prefix_key_of_address_key_equals_prefix_of_address(address):
    assert prefix_key(keys(address).address, PREFIX_V4, PREFIX_V6) == keys(address).prefix
