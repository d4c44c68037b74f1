//! Decides whether a download that broke off may be resumed from another upstream. It may only if the other upstream
//! has exactly the same object, byte for byte, as a strong validator shows (RFC 9110 sections 8.8.1 and 13.1.5).

/// A download of an object, or of a part of one, that may be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialDownload {
    /// The strong validator of the object, as given in the `ETag` field.
    pub validator: String,
    /// Position of the first requested byte in the object.
    pub first: u64,
    /// Position behind the last requested byte.
    pub end: u64,
    /// Length of the whole object, if known.
    pub complete_length: Option<u64>,
}

/// Why a download cannot be resumed with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeMismatch {
    /// The upstream sent the whole object: its object is another one, or it does not support ranges.
    Whole,
    /// The response has another validator.
    Validator,
    /// The response is another range than was asked for, or its object has another length.
    Part,
}

/// The validator without surrounding whitespace, or `None` if it is weak: weak validators do not distinguish objects
/// byte for byte.
pub fn strong_validator(validator: &str) -> Option<&str> {
    let text = validator.trim();
    let is_quoted = text.len() >= 2 && text.starts_with('"') && text.ends_with('"');
    is_quoted.then_some(text)
}

/// Parses a `Content-Range` field (RFC 9110 section 14.4). Returns the first and last position and the length of the
/// whole object, if given.
pub fn parse_content_range(field: &str) -> Option<(u64, u64, Option<u64>)> {
    fn parse_number(text: &str) -> Option<u64> {
        (!text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())).then(|| text.parse().ok())?
    }
    let (range, complete_length) = field.trim().strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    let (first, last) = (parse_number(first)?, parse_number(last)?);
    let complete_length = if complete_length == "*" { None } else { Some(parse_number(complete_length)?) };
    let is_valid = first <= last && complete_length.is_none_or(|length| last < length);
    is_valid.then_some((first, last, complete_length))
}

impl PartialDownload {
    /// The range that is missing after `received` bytes: its first position and the position behind its end. Returns
    /// `None` if nothing is missing.
    pub fn remaining(&self, received: u64) -> Option<(u64, u64)> {
        let first = self.first.checked_add(received)?;
        (first < self.end).then_some((first, self.end))
    }

    /// Checks that a response carries exactly what is missing of this object after `received` bytes. `validator` and
    /// `content_range` are the values of the response's fields.
    ///
    /// # Errors
    /// How the response differs from what is missing.
    pub fn check_continuation(
        &self,
        received: u64,
        status: u16,
        validator: Option<&str>,
        content_range: Option<&str>,
    ) -> Result<(), ResumeMismatch> {
        if status != 206 {
            return Err(ResumeMismatch::Whole);
        }
        if validator.and_then(strong_validator) != Some(self.validator.as_str()) {
            return Err(ResumeMismatch::Validator);
        }
        let (first, last, complete_length) =
            content_range.and_then(parse_content_range).ok_or(ResumeMismatch::Part)?;
        let is_remaining = self.remaining(received) == Some((first, last + 1));
        let is_same_length = self.complete_length.is_none()
            || complete_length.is_none()
            || complete_length == self.complete_length;
        (is_remaining && is_same_length).then_some(()).ok_or(ResumeMismatch::Part)
    }
}
