"""Where the list of workers comes from.

`endpoint_list` is what a source tells, in typed form; `routing_table` applies it. `watch` keeps one source
followed, `platform` and `consul` are the two kinds of sources, and `active_watch` moves from one source to
the next.
"""
