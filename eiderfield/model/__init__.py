"""Types that the policy shares with those that drive it; `eiderfield.interface` is their public face."""
