//! When a download that broke off is gone on with from another upstream: only where the object is known to be the very
//! same one, octet by octet (RFC 9110 sections 8.8.1 and 13.1.5).

/// What is known of an object and of the part that was passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Its strong validator, as it stands in the field.
    pub validator: String,
    /// The first octet of the part, in the object.
    pub first: u64,
    /// The octet past the part's last.
    pub end: u64,
    /// The object's length, where told.
    pub whole: Option<u64>,
}

/// Why a download can't be gone on with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changed {
    /// The upstream gave all of it, not the rest: it has another object, or knows no parts.
    Whole,
    /// Another validator.
    Validator,
    /// Another part than was asked for, or of another length.
    Part,
}

/// A validator that tells objects apart octet by octet; a weak one does not.
pub fn strong(validator: &str) -> Option<&str> {
    let text = validator.trim();
    let quoted = text.len() >= 2 && text.starts_with('"') && text.ends_with('"');
    quoted.then_some(text)
}

/// A part as a field tells it: first and last octet, and the object's length (RFC 9110 section 14.4).
pub fn part(field: &str) -> Option<(u64, u64, Option<u64>)> {
    fn number(text: &str) -> Option<u64> {
        (!text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
    }
    let (range, whole) = field.trim().strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    let (first, last) = (number(first)?, number(last)?);
    let whole = if whole == "*" { None } else { Some(number(whole)?) };
    (first <= last && whole.is_none_or(|whole| last < whole)).then_some((first, last, whole))
}

impl Piece {
    /// The part that is still to come after so many octets; none where there is nothing left.
    pub fn rest(&self, passed: u64) -> Option<(u64, u64)> {
        let first = self.first.checked_add(passed)?;
        (first < self.end).then_some((first, self.end))
    }

    /// Whether an answer is the rest of this very object after so many octets.
    pub fn goes_on(
        &self,
        passed: u64,
        status: u16,
        validator: Option<&str>,
        told: Option<&str>,
    ) -> Result<(), Changed> {
        if status != 206 {
            return Err(Changed::Whole);
        }
        if validator.and_then(strong) != Some(self.validator.as_str()) {
            return Err(Changed::Validator);
        }
        let (first, last, whole) = told.and_then(part).ok_or(Changed::Part)?;
        let same = self.rest(passed) == Some((first, last + 1));
        let alike = self.whole.is_none() || whole.is_none() || whole == self.whole;
        (same && alike).then_some(()).ok_or(Changed::Part)
    }
}
