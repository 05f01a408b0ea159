"""Discovery: the sources of the list of workers.

`endpoint_list` defines the list in typed form and `routing_table` applies it. `watch` follows a source over a
`watch_connection`; `platform` and `consul` implement it for the two kinds of sources, and `source_history`
says which lists may be incomplete. `active_watch` switches to another source when the configuration changes.
"""
