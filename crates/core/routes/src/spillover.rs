//! Zone-aware routing with spillover.
//!
//! The requests of a zone go to members of the same zone up to their capacity. The excess goes to other zones in
//! proportion to their spare capacity. If no zone has spare capacity, the rest is distributed over all zones in proportion
//! to capacity, and overloaded members reject requests themselves.

/// The fraction of a zone's capacity that is used. The rest is a reserve for errors in the learned capacity.
const MAX_UTILIZATION: f64 = 0.85;

/// The smallest divisor for a sum of capacities, in requests per second, so that the quotient stays finite.
const MIN_CAPACITY: f64 = 1e-9;

/// Returns, for each zone (row), the fractions of its demand that go to each zone (column). `demand` and `capacity` are
/// given for each zone, in requests per second.
pub fn spillover(demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let totals = Totals::new(demand, capacity);
    (0..demand.len()).map(|from| totals.row(from, demand[from], capacity)).collect()
}

/// Demand and capacity of all zones, from which each row is computed.
struct Totals {
    /// The rate of each zone's demand that its own members serve.
    local: Vec<f64>,
    /// The rate that each zone's members can serve for other zones.
    spare: Vec<f64>,
    excess_sum: f64,
    spare_sum: f64,
    capacity_sum: f64,
}

impl Totals {
    fn new(demand: &[f64], capacity: &[f64]) -> Self {
        let zones = demand.len();
        let local: Vec<f64> =
            (0..zones).map(|zone| demand[zone].min(capacity[zone] * MAX_UTILIZATION)).collect();
        let spare: Vec<f64> =
            (0..zones).map(|zone| (capacity[zone] * MAX_UTILIZATION - local[zone]).max(0.0)).collect();
        let excess_sum = (0..zones).map(|zone| demand[zone] - local[zone]).sum();
        let spare_sum = spare.iter().sum();
        Self { local, spare, excess_sum, spare_sum, capacity_sum: capacity.iter().sum() }
    }

    /// The fractions of one zone's demand that go to each zone.
    fn row(&self, from: usize, demand: f64, capacity: &[f64]) -> Vec<f64> {
        if demand <= 0.0 {
            return self.row_without_demand(from, capacity);
        }
        let zones = self.local.len();
        let mut fractions = vec![0.0; zones];
        fractions[from] = self.local[from] / demand;
        let rest = 1.0 - fractions[from];
        if rest <= 0.0 {
            return fractions;
        }
        // The excess is distributed by spare capacity; what exceeds all spare capacity is distributed by capacity.
        let fraction_by_spare =
            if self.excess_sum > 0.0 { (self.spare_sum / self.excess_sum).min(1.0) } else { 1.0 };
        for to in 0..zones {
            let by_spare = if self.spare_sum > 0.0 { self.spare[to] / self.spare_sum } else { 0.0 };
            let by_capacity =
                if self.capacity_sum > 0.0 { capacity[to] / self.capacity_sum } else { 1.0 / zones as f64 };
            fractions[to] += rest * (fraction_by_spare * by_spare + (1.0 - fraction_by_spare) * by_capacity);
        }
        fractions
    }

    /// The fractions for a zone that has no demand yet: its first requests stay in the zone if it has any capacity, and
    /// are otherwise distributed by capacity.
    fn row_without_demand(&self, from: usize, capacity: &[f64]) -> Vec<f64> {
        if capacity[from] > 0.0 {
            let mut fractions = vec![0.0; capacity.len()];
            fractions[from] = 1.0;
            return fractions;
        }
        capacity.iter().map(|zone_capacity| zone_capacity / self.capacity_sum.max(MIN_CAPACITY)).collect()
    }
}
