"""The base class of the errors that the package defines.

Each package derives its own errors from it, in its module `errors` or beside what raises them:

    EiderfieldError
    ├── ConfigError               config/errors.py: a setting is missing or wrong
    ├── SettingsError             settings_text.py: a setting of the policy is missing or wrong
    ├── WireError                 wire.py: a frame of the simulator is malformed
    ├── ExchangeError             exchange/errors.py: a call that the exchange refuses
    ├── HandoverError             net/handover/errors.py: the handover to the next process failed
    ├── EndpointListError         net/discovery/endpoint_list.py: an endpoint list is malformed
    ├── JsonArrayError            net/discovery/json_array.py: a list in JSON is malformed or too long
    ├── MalformedMessageError     net/http/message.py: an HTTP message is malformed
    ├── DurableRequestsError      durable_requests/errors.py: the shared folder or a store is unusable
    ├── DrmaaError                batch/drmaa.py: an error of the batch interface, as DRMAA names it
    ├── RolloutError              rollout/errors.py: a change cannot be led, read or carried out
    └── errors of lab/

Errors carry the key, path, peer or id that they are about as attributes. Those that also derive from
`ValueError` or `RuntimeError` can be caught as such.
"""

from __future__ import annotations


class EiderfieldError(Exception):
    """Base of all errors of this package."""
