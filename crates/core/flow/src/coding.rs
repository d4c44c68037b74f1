//! Which coding a body is passed on in, by what both peers take, and how much a coded body may become.

/// How a body is coded (RFC 9110 section 8.4).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Coding {
    /// Not at all.
    #[default]
    Identity,
    /// RFC 1952.
    Gzip,
    /// RFC 8878.
    Zstd,
}

impl Coding {
    /// By its name in a field.
    pub fn parse(name: &str) -> Option<Self> {
        match name.trim().to_ascii_lowercase().as_str() {
            "identity" | "" => Some(Self::Identity),
            "gzip" | "x-gzip" => Some(Self::Gzip),
            "zstd" => Some(Self::Zstd),
            _ => None,
        }
    }

    /// Its name in a field.
    pub fn name(self) -> &'static str {
        match self {
            Self::Identity => "identity",
            Self::Gzip => "gzip",
            Self::Zstd => "zstd",
        }
    }
}

/// The coding that a peer likes best of those we have, by its list with weights (RFC 9110 section 12.5.3). What it
/// does not name, or gives no weight, it does not get; of equals the closer one.
pub fn accepted(list: &str) -> Coding {
    let mut best = (Coding::Identity, 0.0);
    let mut any = None;
    let mut named = Vec::new();
    for entry in list.split(',') {
        let mut parts = entry.split(';');
        let name = parts.next().unwrap_or("").trim();
        let weight = parts.find_map(|part| part.trim().strip_prefix("q=").map(|q| q.trim().parse::<f64>()));
        // A weight that can't be read is none.
        let weight = weight.map_or(1.0, |weight| weight.unwrap_or(0.0));
        match Coding::parse(name) {
            _ if name == "*" => any = Some(weight),
            Some(coding) if !name.is_empty() => named.push((coding, weight)),
            _ => {}
        }
    }
    for coding in [Coding::Zstd, Coding::Gzip] {
        let own = named.iter().find(|(named, _)| *named == coding).map(|(_, weight)| *weight);
        let weight = own.or(any).unwrap_or(0.0);
        if weight > best.1 {
            best = (coding, weight);
        }
    }
    let identity = named.iter().find(|(named, _)| *named == Coding::Identity).map(|(_, weight)| *weight);
    match identity {
        Some(weight) if weight > best.1 => Coding::Identity,
        _ => best.0,
    }
}

/// What a coded body may become, so that a few octets can't fill a disk or a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Growth {
    /// So many times what came.
    pub ratio: f64,
    /// And so many octets in any case.
    pub slack: u64,
}

impl Growth {
    /// Whether so many octets may have come of so many.
    pub fn allows(&self, came: u64, became: u64) -> bool {
        became <= self.slack || became as f64 <= came as f64 * self.ratio
    }
}
