"""Types that the policy and its callers share; `eiderfield.interface` exports them."""
