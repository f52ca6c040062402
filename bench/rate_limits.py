"""Excess and use of rate limits in virtual time, over many seeds.

Run: python -m bench.rate_limits [SEEDS] [TROUBLE]
"""

import sys

from features.support.rate_limit_fleet import exact_admissions, run_trouble, troubles

# Hosts, rate, burst and demand as a multiple of the rate.
SIZES = (
    (5, 20.0, 0.0, 9.0),
    (36, 50.0, 50.0, 0.9),
    (36, 200.0, 0.0, 9.0),
    (36, 5.0, 5.0, 5.0),
    (60, 1.0, 0.0, 9.0),
    (36, 400.0, 400.0, 5.0),
    (130, 400.0, 0.0, 9.0),
)
START_S = 8.0
DURATION_S = 25.0


def main():
    """Print the worst excess and the mean use of each trouble and size."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    names = sys.argv[2:] or list(troubles(5, 1.0, 1.0))
    print("excess: above the hard bound, worst of all windows and seeds")
    worst = float("-inf")
    for name in names:
        for hosts, rate, burst, demand in SIZES:
            # The largest fleet takes long; some seeds show enough.
            count = seeds if hosts < 100 else max(1, seeds // 25)
            excess = float("-inf")
            used = refused = exact = 0.0
            for seed in range(1, count + 1):
                fleet = run_trouble(name, seed, hosts, rate, burst, demand)
                excess = max(excess, fleet.excess())
                used += fleet.used_share(START_S, DURATION_S) / count
                refused += fleet.refused_share(START_S, DURATION_S) / count
                same = exact_admissions(fleet, START_S, DURATION_S)
                exact += same / (rate * (DURATION_S - START_S)) / count
            worst = max(worst, excess)
            print(
                f"{name}: {hosts} hosts, rate {rate:g}, burst {burst:g}, demand "
                f"{demand:g}, {count} seeds: excess {excess:.1f} used {used:.3f} "
                f"(exact {exact:.3f}) refused {refused:.4f}",
                flush=True,
            )
    print(f"worst excess {worst:.1f}: {'bound kept' if worst <= 0.0 else 'BROKEN'}")


if __name__ == "__main__":
    main()
