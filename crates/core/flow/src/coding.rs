//! Content codings: which one a body is sent in, and how far a body may grow when it is decoded.

/// A content coding (RFC 9110 section 8.4).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Coding {
    /// No coding.
    #[default]
    Identity,
    /// gzip (RFC 1952).
    Gzip,
    /// Zstandard (RFC 8878).
    Zstd,
}

impl Coding {
    /// Parses the name of a coding as it stands in a field. Returns `None` for codings that are not supported.
    pub fn parse(name: &str) -> Option<Self> {
        match name.trim().to_ascii_lowercase().as_str() {
            "identity" | "" => Some(Self::Identity),
            "gzip" | "x-gzip" => Some(Self::Gzip),
            "zstd" => Some(Self::Zstd),
            _ => None,
        }
    }

    /// The name of the coding in a field.
    pub fn name(self) -> &'static str {
        match self {
            Self::Identity => "identity",
            Self::Gzip => "gzip",
            Self::Zstd => "zstd",
        }
    }
}

/// The supported coding that an `Accept-Encoding` field gives the highest weight (RFC 9110 section 12.5.3). A
/// coding that the field does not list (`*` lists all), or lists with weight 0, is never chosen. At equal
/// weights zstd is preferred to gzip, and both to no coding.
pub fn preferred_coding(accept_encoding: &str) -> Coding {
    let mut best = (Coding::Identity, 0.0);
    let mut wildcard = None;
    let mut listed = Vec::new();
    for entry in accept_encoding.split(',') {
        let mut parts = entry.split(';');
        let name = parts.next().unwrap_or("").trim();
        let weight = parts.find_map(|part| part.trim().strip_prefix("q=").map(|q| q.trim().parse::<f64>()));
        // A weight that cannot be parsed counts as 0.
        let weight = weight.map_or(1.0, |weight| weight.unwrap_or(0.0));
        match Coding::parse(name) {
            _ if name == "*" => wildcard = Some(weight),
            Some(coding) if !name.is_empty() => listed.push((coding, weight)),
            _ => {}
        }
    }
    for coding in [Coding::Zstd, Coding::Gzip] {
        let own_weight = listed.iter().find(|(listed, _)| *listed == coding).map(|(_, weight)| *weight);
        let weight = own_weight.or(wildcard).unwrap_or(0.0);
        if weight > best.1 {
            best = (coding, weight);
        }
    }
    let identity = listed.iter().find(|(listed, _)| *listed == Coding::Identity).map(|(_, weight)| *weight);
    match identity {
        Some(weight) if weight > best.1 => Coding::Identity,
        _ => best.0,
    }
}

/// How far a body may grow when it is decoded, so that a small body cannot fill a disk or overload its receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthLimit {
    /// The largest ratio of decoded to encoded bytes.
    pub max_ratio: f64,
    /// The decoded bytes that are allowed whatever the ratio.
    pub always_allowed_bytes: u64,
}

impl GrowthLimit {
    /// Whether `encoded_bytes` may have been decoded to `decoded_bytes`.
    pub fn allows(&self, encoded_bytes: u64, decoded_bytes: u64) -> bool {
        decoded_bytes <= self.always_allowed_bytes
            || decoded_bytes as f64 <= encoded_bytes as f64 * self.max_ratio
    }
}
