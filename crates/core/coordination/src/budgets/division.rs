//! How much of a capacity each holder should have, by demand in thousandths of a unit.
//!
//! Where the demands exceed the capacity they are met max-min fairly: each up to one level. Where they do not, they
//! are means, and the rest is spread by their square roots, as demand strays from its mean by about that: square-root
//! staffing (Halfin and Whitt, 1981).

/// Thousandths in a unit.
pub const MILLIUNITS_PER_UNIT: u64 = 1000;
/// Of the rest a holder gets its demand's square root this many times at most; what is left stays free for newcomers.
const MAX_ROOTS_OF_REST: u128 = 3;

/// What each holder should have, in thousandths of a unit, in the order of the demands; the sum is at most the
/// capacity, which is in whole units. No demand is over 2^51.
pub fn divide(capacity: u64, demands_milliunits: &[u64]) -> Vec<u64> {
    let available = capacity.saturating_mul(MILLIUNITS_PER_UNIT);
    let total: u128 = demands_milliunits.iter().map(|demand| u128::from(*demand)).sum();
    if total > u128::from(available) {
        let level = max_min_level(available, demands_milliunits.to_vec());
        return demands_milliunits.iter().map(|demand| *demand.min(&level)).collect();
    }
    add_rest(u128::from(available) - total, demands_milliunits)
}

/// Adds to each demand its part of the rest, by square roots.
fn add_rest(rest: u128, demands: &[u64]) -> Vec<u64> {
    let root = |demand: u64| u128::from((demand * MILLIUNITS_PER_UNIT).isqrt());
    let roots: u128 = demands.iter().map(|demand| root(*demand)).sum();
    let part = |demand: u64| (rest * root(demand) / roots.max(1)).min(root(demand) * MAX_ROOTS_OF_REST);
    // Each part is at most the capacity, so it fits into a `u64`.
    demands.iter().map(|demand| demand + u64::try_from(part(*demand)).unwrap_or(0)).collect()
}

/// Up to which level each demand can be met so that the sum fits.
fn max_min_level(available: u64, mut demands: Vec<u64>) -> u64 {
    demands.sort_unstable();
    let mut left = available;
    let mut level = 0;
    for (met, &demand) in demands.iter().enumerate() {
        // All demands that are not met are raised from the level to the smallest of them, as far as that goes.
        let unmet = (demands.len() - met) as u64;
        let rise = demand - level;
        if rise.saturating_mul(unmet) > left {
            return level + left / unmet;
        }
        left -= rise * unmet;
        level = demand;
    }
    level
}
