"""Configuration of a dispatcher process: where it is read, checked and given its defaults.

- `errors`: `ConfigError`, which names the faulty key.
- `address`: `Address`, host and port, and its parser.
- `reader`: `TableReader`, typed look-ups in one table of a file.
- one module for each table: `limits`, `policy`, `discovery`, `peers`, `batch`, `connections`, `admission`.
- `source`: digest and redacted form of what a file holds.
- `loader`: `Config`, and how it is read from a file and the environment.

The package that uses the settings of a table defines their type. This package re-exports nothing, so that a
module that needs `Address` or `ConfigError` does not import the loader.
"""
