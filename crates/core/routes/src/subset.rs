//! The members that one of many proxies uses. Proxies and members stand on two rings in the order of their names, each
//! with an equal arc; a proxy uses the members under its own arc, by how much of each lies under it, and as many further
//! on as make the least that it is to have. So every member gets the same load in sum, to the last part, and a proxy that
//! comes or goes moves only the edges. Source: deterministic aperture (Twitter Finagle, published 2019).

/// A member that a proxy uses: its place in the order, and its part of the proxy's tasks.
pub type Part = (usize, f64);

/// The members for proxy `own` of `proxies`, of `members` in their order; at least `least` of them where there are as many.
pub fn subset(own: usize, proxies: usize, members: usize, least: usize) -> Vec<Part> {
    if proxies == 0 || members == 0 || own >= proxies {
        return Vec::new();
    }
    // The width of an arc, in members: all proxies' arcs together go round a whole number of times, so that each member
    // lies under as much as any other.
    let fair = members as f64 / proxies as f64;
    let rounds = (least.min(members) as f64 / fair).ceil().max(1.0);
    let width = (fair * rounds).min(members as f64);
    let start = fair * own as f64;
    let mut parts = Vec::new();
    let (first, end) = (start.floor() as usize, start + width);
    for at in first..end.ceil() as usize {
        let covered = (end.min(at as f64 + 1.0) - start.max(at as f64)).max(0.0);
        if covered > 1e-9 {
            let member = at % members;
            match parts.iter_mut().find(|(own, _): &&mut Part| *own == member) {
                Some((_, part)) => *part += covered / width,
                None => parts.push((member, covered / width)),
            }
        }
    }
    parts
}

/// Members by weight instead of by number: the same parts, each times its member's weight over the mean one.
pub fn weighted(parts: &[Part], weights: &[f64]) -> Vec<Part> {
    let sum: f64 = parts.iter().map(|(member, part)| part * weights[*member]).sum();
    if sum <= 0.0 {
        return parts.to_vec();
    }
    parts.iter().map(|(member, part)| (*member, part * weights[*member] / sum)).collect()
}
