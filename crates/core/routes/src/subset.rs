//! The members that one of many proxies uses. Proxies and members stand on two rings in the order of their names, each
//! with an equal arc; a proxy uses the members under its own arc, by how much of each lies under it, and as many further
//! on as make the least that it is to have. So every member gets the same load in sum, to the last part, and a proxy that
//! comes or goes moves only the edges. Source: deterministic aperture (Twitter Finagle, published 2019).

/// A smaller part of a member under an arc is an error of rounding.
const MIN_COVERED: f64 = 1e-9;

/// A member that a proxy uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetMember {
    /// The member's place in the order of names.
    pub member: usize,
    /// The fraction of the proxy's requests that it gets.
    pub fraction: f64,
}

/// The members for the proxy at place `proxy` of `proxies`, of `members` in their order; at least `min_members` of them
/// where there are as many.
pub fn subset(proxy: usize, proxies: usize, members: usize, min_members: usize) -> Vec<SubsetMember> {
    if proxies == 0 || members == 0 || proxy >= proxies {
        return Vec::new();
    }
    // The width of an arc, in members: all proxies' arcs together go round a whole number of times, so that each member
    // lies under as much as any other.
    let fair = members as f64 / proxies as f64;
    let rounds = (min_members.min(members) as f64 / fair).ceil().max(1.0);
    let width = (fair * rounds).min(members as f64);
    let start = fair * proxy as f64;
    let end = start + width;
    let mut parts: Vec<SubsetMember> = Vec::new();
    for at in start.floor() as usize..end.ceil() as usize {
        let covered = (end.min(at as f64 + 1.0) - start.max(at as f64)).max(0.0);
        if covered > MIN_COVERED {
            let member = at % members;
            let fraction = covered / width;
            match parts.iter_mut().find(|part| part.member == member) {
                Some(part) => part.fraction += fraction,
                None => parts.push(SubsetMember { member, fraction }),
            }
        }
    }
    parts
}

/// Members by weight instead of by number: the same members, each fraction times its member's weight over the mean one.
pub fn apply_weights(parts: &[SubsetMember], weights: &[f64]) -> Vec<SubsetMember> {
    let weight = |part: &SubsetMember| part.fraction * weights[part.member];
    let sum: f64 = parts.iter().map(weight).sum();
    if sum <= 0.0 {
        return parts.to_vec();
    }
    parts.iter().map(|part| SubsetMember { member: part.member, fraction: weight(part) / sum }).collect()
}
