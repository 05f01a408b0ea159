"""Tests of the parser of the settings text."""

from dataclasses import fields

import pytest
from support.wire_messages import GOOD

from eiderfield.interface import Effect, RequestClass, Scope, Settings, Tenant
from eiderfield.settings_text import (
    CLASS_FIELDS,
    SETTINGS_FIELDS,
    TENANT_FIELDS,
    SettingsError,
    parse_settings,
)


def test_parse_settings_maps_keys_to_attributes():
    settings = parse_settings(GOOD)
    assert settings.classes[1].effect is Effect.KEYED
    assert settings.classes[1].scope is Scope.CELL
    assert [c.objective_stretch for c in settings.classes] == [2.0, 2.5]
    assert [c.kind for c in settings.classes] == [-1, 1]
    assert (settings.dispatcher_count, settings.dispatcher_index, settings.cancellation_allowed) == (
        3,
        2,
        False,
    )


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("classes.count=2", "", "classes.count"),
        ("classes.count=2", "classes.count=0", "classes.count"),
        ("classes.0.value=1.0", "", "classes.0.value"),
        ("classes.0.value=1.0", "classes.0.value=-1", "classes.0.value"),
        ("classes.0.value=1.0", "classes.0.value=nan", "classes.0.value"),
        ("classes.0.value=1.0", "classes.0.value=much", "classes.0.value"),
        ("classes.0.goal_time=300.0", "classes.0.goal_time=9000", "classes.0.goal_time"),
        ("idempotency=dedup", "idempotency=perhaps", "classes.1.idempotency"),
        ("me=2", "me=3", "me"),
        ("me=2", "me=0.5", "me"),
        ("balancers=3", "balancers=0", "balancers"),
        ("me=2", "me=2\npolicy_limits.cancel=yes", "policy_limits.cancel"),
        ("me=2", "me=2\nprojects.count=1", "projects.0.quota_per_s"),
        ("class_stretch=2.0,2.5", "class_stretch=a,b", "class_stretch"),
    ],
)
def test_parse_settings_with_an_invalid_value_raises_an_error_that_names_its_key(old, new, key):
    with pytest.raises(SettingsError, match=key.replace(".", r"\.")) as caught:
        parse_settings(GOOD.replace(old, new))
    assert caught.value.key.endswith(key)


@pytest.mark.parametrize("key", ["class_kind", "class_priority"])
@pytest.mark.parametrize("value", ["nan", "inf"])
def test_parse_settings_with_a_non_finite_index_raises_an_error_that_names_its_key(key, value):
    with pytest.raises(SettingsError) as caught:
        parse_settings(f"{GOOD}\nfamily_info.{key}={value}")
    assert caught.value.key == f"family_info.{key}"


@pytest.mark.parametrize(
    ("table", "settings_class", "read_separately"),
    [
        (SETTINGS_FIELDS, Settings, {"classes", "tenants"}),
        (CLASS_FIELDS, RequestClass, {"name", "objective_stretch", "kind", "priority"}),
        (TENANT_FIELDS, Tenant, {"name"}),
    ],
    ids=["settings", "class", "tenant"],
)
def test_table_sets_each_attribute_once(table, settings_class, read_separately):
    fields_in_table = [row.field for row in table]
    assert sorted([*fields_in_table, *read_separately]) == sorted(
        field.name for field in fields(settings_class)
    )
