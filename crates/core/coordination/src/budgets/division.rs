//! Divides a capacity among holders according to their demands, in thousandths of a unit.
//!
//! If the demands exceed the capacity, the division is max-min fair: each demand is met up to a common level. Otherwise
//! each demand is met, and the surplus is divided in proportion to the square roots of the demands. The reason is that a
//! demand is a mean, and actual demand deviates from its mean by about the square root: square-root staffing (Halfin and
//! Whitt, 1981).

/// Thousandths of a unit per unit.
pub const MILLIUNITS_PER_UNIT: u64 = 1000;
/// The largest part of the surplus that a holder gets, as a multiple of the square root of its demand. The rest of the
/// surplus stays free for new holders.
const MAX_SURPLUS_ROOTS: u128 = 3;

/// Divides `capacity`, which is in whole units, among holders with the given demands.
///
/// Returns the part of each holder in thousandths of a unit, in the order of the demands. The sum of the parts is at
/// most the capacity. No demand may exceed 2^51, so that a demand times [`MILLIUNITS_PER_UNIT`] fits into a `u64`.
pub fn divide(capacity: u64, demands_milliunits: &[u64]) -> Vec<u64> {
    let available = capacity.saturating_mul(MILLIUNITS_PER_UNIT);
    let total: u128 = demands_milliunits.iter().map(|demand| u128::from(*demand)).sum();
    if total > u128::from(available) {
        let level = max_min_level(available, demands_milliunits.to_vec());
        return demands_milliunits.iter().map(|demand| *demand.min(&level)).collect();
    }
    add_surplus(u128::from(available) - total, demands_milliunits)
}

/// Adds to each demand its part of the surplus, in proportion to the square roots of the demands.
fn add_surplus(surplus: u128, demands: &[u64]) -> Vec<u64> {
    let root = |demand: u64| u128::from((demand * MILLIUNITS_PER_UNIT).isqrt());
    let roots: u128 = demands.iter().map(|demand| root(*demand)).sum();
    let part = |demand: u64| (surplus * root(demand) / roots.max(1)).min(root(demand) * MAX_SURPLUS_ROOTS);
    // Each part is at most the capacity, so it fits into a `u64`.
    demands.iter().map(|demand| demand + u64::try_from(part(*demand)).unwrap_or(0)).collect()
}

/// The max-min fair level: the highest level up to which every demand can be met with what is available.
fn max_min_level(available: u64, mut demands: Vec<u64>) -> u64 {
    demands.sort_unstable();
    let mut remaining = available;
    let mut level = 0;
    for (met, &demand) in demands.iter().enumerate() {
        // Raise the level to the smallest unmet demand, or as far as what remains suffices for all unmet demands.
        let unmet = (demands.len() - met) as u64;
        let rise = demand - level;
        if rise.saturating_mul(unmet) > remaining {
            return level + remaining / unmet;
        }
        remaining -= rise * unmet;
        level = demand;
    }
    level
}
