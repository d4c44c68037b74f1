//! Deterministic subsetting: the members that one of many proxies sends requests to.
//!
//! Proxies and members are placed on two rings in the order of their names, each with an arc of equal width. A proxy uses
//! the members that overlap its own arc, weighted by the overlap. If these are fewer than the minimum, its arc is extended
//! over the following members. Each member gets exactly the same total load, and adding or removing a proxy changes only
//! the members at the edges of the arcs. Source: deterministic aperture (Twitter Finagle, published 2019).

/// An overlap of an arc with a member below this fraction is a rounding error.
const MIN_OVERLAP: f64 = 1e-9;

/// A member that a proxy sends requests to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetMember {
    /// The index of the member in the order of names.
    pub member: usize,
    /// The fraction of the proxy's requests that the member gets.
    pub fraction: f64,
}

/// The subset of `members` members for the proxy with index `proxy` out of `proxies` proxies. It has at least `min_members`
/// members, or all if there are fewer.
pub fn subset(proxy: usize, proxies: usize, members: usize, min_members: usize) -> Vec<SubsetMember> {
    if proxies == 0 || members == 0 || proxy >= proxies {
        return Vec::new();
    }
    // The arc is widened to a whole multiple of the fair width. All arcs together then go round the ring a whole number of
    // times, so that each member is covered equally often.
    let fair_width = members as f64 / proxies as f64;
    let rounds = (min_members.min(members) as f64 / fair_width).ceil().max(1.0);
    let width = (fair_width * rounds).min(members as f64);
    let start = fair_width * proxy as f64;
    let end = start + width;
    let mut subset_members: Vec<SubsetMember> = Vec::new();
    for position in start.floor() as usize..end.ceil() as usize {
        let overlap = (end.min(position as f64 + 1.0) - start.max(position as f64)).max(0.0);
        if overlap > MIN_OVERLAP {
            let member = position % members;
            let fraction = overlap / width;
            match subset_members.iter_mut().find(|entry| entry.member == member) {
                Some(entry) => entry.fraction += fraction,
                None => subset_members.push(SubsetMember { member, fraction }),
            }
        }
    }
    subset_members
}

/// Weights a subset: each fraction is multiplied by the weight of its member, and all are normalized to a sum of 1.
/// Returns the subset unchanged if all weights are zero.
pub fn apply_weights(subset_members: &[SubsetMember], weights: &[f64]) -> Vec<SubsetMember> {
    let weight = |entry: &SubsetMember| entry.fraction * weights[entry.member];
    let sum: f64 = subset_members.iter().map(weight).sum();
    if sum <= 0.0 {
        return subset_members.to_vec();
    }
    subset_members
        .iter()
        .map(|entry| SubsetMember { member: entry.member, fraction: weight(entry) / sum })
        .collect()
}
