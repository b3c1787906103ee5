"""A short soak run with fixed seeds and with all seeds that have failed before."""

import sys

from route_soak import REGRESSION_SEEDS, run_seed

if __name__ == "__main__":
    results = [run_seed(seed, 5) for seed in [1, 2, *REGRESSION_SEEDS]]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    sys.exit(0 if all(results) else 1)
