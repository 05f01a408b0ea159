"""Discovery: the sources of the list of workers.

`endpoint_list` holds the list in typed form and `routing_table` applies it. `watch` follows one source over
`watch_connection`, `platform` and `consul` are the two kinds of sources, and `active_watch` switches from
one source to the next.
"""
