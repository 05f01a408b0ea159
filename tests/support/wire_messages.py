"""Messages of the simulator's wire, as its description writes them."""

TABLE = (
    "0a 00000000 02000000 074a1203 0000 0000 0000 02 0000803f 0000000000000000"
    "f211902c 0100 0000 0000 02 0000c03f 0000000000d4b740"
)

GOOD = """classes.count=2
classes.0.value=1.0
classes.0.goal_time=300.0
classes.0.give_up=5000.0
classes.0.idempotency=retryable
classes.1.value=10.0
classes.1.goal_time=600.0
classes.1.give_up=7500.0
classes.1.idempotency=dedup
classes.1.key_scope=cell
classes.1.repeat_window=4000.0
family_info.class_stretch=2.0,2.5
family_info.class_kind=-1,1
nobody.knows=this
balancers=3
me=2
"""
