"""Batch jobs over HTTP with the operations of DRMAA: the front, its jobs, and a client.

- `front`: routes the messages of the batch listener; `parameters`, `messages`, `replies`: their codecs.
- `registry`: the jobs of this dispatcher, with `submission`, `validation`, `job_table` and `job`.
- `local_wait`, `remote`: messages that wait for the end of a job, here or at another dispatcher.
- `durable`: what the front needs of the store of durable jobs.
- `drmaa`: states, actions and errors of DRMAA.
- `client`: `Session`, with the old names that `deprecation` keeps usable.
"""
