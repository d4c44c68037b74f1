//! How much each should have: whole units, by need in thousandths of a unit.
//!
//! Where needs are more than there is, max-min fair: each gets its need up to one level. Where there is more than
//! the needs, which are means, the rest is spread by their square roots, as needs stray by about that: square-root
//! staffing (Halfin and Whitt, 1981).

/// Thousandths in a unit.
pub const UNIT: u64 = 1000;
/// Of what is left over a need gets this many times its root at most; the rest stays free for those who come.
const SPARE: u128 = 3;

/// What each should have, in thousandths of a unit; the sum is the whole at most. No need is over 2^51.
pub fn wants(whole: u64, needs: &[u64]) -> Vec<u64> {
    let most = whole.saturating_mul(UNIT);
    let total: u128 = needs.iter().map(|need| u128::from(*need)).sum();
    if total > u128::from(most) {
        let level = level(most, needs.to_vec());
        return needs.iter().map(|need| *need.min(&level)).collect();
    }
    let spare = u128::from(most) - total;
    let root = |need: u64| u128::from((need * UNIT).isqrt());
    let roots: u128 = needs.iter().map(|need| root(*need)).sum();
    let more = |need: u64| (spare * root(need) / roots.max(1)).min(root(need) * SPARE);
    // Each part is at most the whole, so it fits.
    needs.iter().map(|need| need + u64::try_from(more(*need)).unwrap_or(0)).collect()
}

/// Up to which amount each need is met so that the sum fits.
fn level(whole: u64, mut needs: Vec<u64>) -> u64 {
    needs.sort_unstable();
    let (mut left, mut below) = (whole, 0);
    for (met, &need) in needs.iter().enumerate() {
        let others = (needs.len() - met) as u64;
        // All of the others are raised from `below` to this need, as far as it goes.
        let rise = need - below;
        if rise.saturating_mul(others) > left {
            return below + left / others;
        }
        left -= rise * others;
        below = need;
    }
    below
}
