//! How the requests of a zone are spread: to its own members up to their capacity, the rest to other zones by their spare
//! capacity. Where no zone has any left, the rest goes to all by capacity: the members themselves reject what is too much.

/// The part of a zone's capacity that is given out; the rest is for errors in the learned capacity.
const MAX_UTILIZATION: f64 = 0.85;

/// Keeps a division by a sum of capacities finite.
const MIN_CAPACITY: f64 = 1e-9;

/// From each zone (rows) to each zone (columns), as fractions of the row's demand. `demand` and `capacity` are by zone, in
/// requests a second.
pub fn spillover(demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let totals = Totals::new(demand, capacity);
    (0..demand.len()).map(|from| totals.row(from, demand[from], capacity)).collect()
}

/// What all zones have and lack together.
struct Totals {
    /// The part of each zone's demand that its own members take.
    local: Vec<f64>,
    /// What each zone's members can take of others' demand.
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

    /// Where one zone's demand goes.
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
        // The excess is shared by spare capacity; what does not fit even there is spread by capacity.
        let fits = if self.excess_sum > 0.0 { (self.spare_sum / self.excess_sum).min(1.0) } else { 1.0 };
        for to in 0..zones {
            let by_spare = if self.spare_sum > 0.0 { self.spare[to] / self.spare_sum } else { 0.0 };
            let by_capacity =
                if self.capacity_sum > 0.0 { capacity[to] / self.capacity_sum } else { 1.0 / zones as f64 };
            fractions[to] += rest * (fits * by_spare + (1.0 - fits) * by_capacity);
        }
        fractions
    }

    /// Whoever comes first to a zone without demand stays there, if the zone has any capacity.
    fn row_without_demand(&self, from: usize, capacity: &[f64]) -> Vec<f64> {
        if capacity[from] > 0.0 {
            let mut fractions = vec![0.0; capacity.len()];
            fractions[from] = 1.0;
            return fractions;
        }
        capacity.iter().map(|own| own / self.capacity_sum.max(MIN_CAPACITY)).collect()
    }
}
