//! How the tasks of a place are spread: to its own members up to what they can do, the rest to other places by what they
//! have left, and where nobody has anything left, to all alike, since then it is the members' own word that refuses.

/// The part of a place's capacity that is given out; the rest is for what was learned wrongly.
const FILLED: f64 = 0.85;

/// From each place (rows) to each place (columns), as parts of the row's demand. `demand` and `capacity` are by place, in
/// tasks a second.
pub fn spill(demand: &[f64], capacity: &[f64]) -> Vec<Vec<f64>> {
    let places = demand.len();
    let mut parts = vec![vec![0.0; places]; places];
    let own: Vec<f64> = (0..places).map(|n| demand[n].min(capacity[n] * FILLED)).collect();
    let spare: Vec<f64> = (0..places).map(|n| (capacity[n] * FILLED - own[n]).max(0.0)).collect();
    let over: f64 = (0..places).map(|n| demand[n] - own[n]).sum();
    let all_spare: f64 = spare.iter().sum();
    let all: f64 = capacity.iter().sum();
    for from in 0..places {
        if demand[from] <= 0.0 {
            // Nobody is here: whoever comes first stays here, if anybody can serve here.
            let serves = if capacity[from] > 0.0 { Some(from) } else { None };
            match serves {
                Some(to) => parts[from][to] = 1.0,
                None => (0..places).for_each(|to| parts[from][to] = capacity[to] / all.max(1e-9)),
            }
            continue;
        }
        parts[from][from] = own[from] / demand[from];
        let rest = 1.0 - parts[from][from];
        if rest <= 0.0 {
            continue;
        }
        // What goes over is shared by what is left; what does not fit even there is spread by what each can do.
        let fits = if over > 0.0 { (all_spare / over).min(1.0) } else { 1.0 };
        for to in 0..places {
            let by_spare = if all_spare > 0.0 { spare[to] / all_spare } else { 0.0 };
            let by_capacity = if all > 0.0 { capacity[to] / all } else { 1.0 / places as f64 };
            parts[from][to] += rest * (fits * by_spare + (1.0 - fits) * by_capacity);
        }
    }
    parts
}
