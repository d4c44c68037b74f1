//! Range checks on decoded messages. Each says which field is out of range and how.

use std::fmt;

/// The longest name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// The largest amount. No sum of as many amounts as a message may hold comes near the end of `u64`.
pub(crate) const MAX_AMOUNT: u64 = 1 << 40;
/// The longest duration: one day, in microseconds.
pub(crate) const MAX_DURATION_US: u64 = 86_400_000_000;

/// A field of a message whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The path of the field in the message, such as `wants[0].in_use`.
    pub path: String,
    /// What is wrong with its value.
    pub violation: Violation,
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// It is no name: one word of printable ASCII characters, of limited length.
    NotAName(String),
    /// It is out of its range.
    OutOfRange {
        /// The value.
        value: u64,
        /// The smallest value that is allowed.
        min: u64,
        /// The largest value that is allowed.
        max: u64,
    },
    /// A list or map has too many entries.
    TooManyEntries {
        /// Its entries.
        count: u64,
        /// As many are allowed.
        max: u64,
    },
    /// A list names one thing twice.
    Duplicate(String),
    /// The ends of a range of integers stand in the wrong order.
    ReversedRange {
        /// The end that stands first.
        min: i64,
        /// The end that stands last.
        max: i64,
    },
    /// An enumeration has no name, or too many.
    EnumerationSize {
        /// Its names.
        count: usize,
        /// As many are allowed.
        max: usize,
    },
    /// Records are nested too deeply.
    TooDeep {
        /// As deep is allowed.
        max: usize,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NotAName(text) => write!(
                f,
                "is {text:?}; one word of at most {MAX_NAME_BYTES} printable characters is expected"
            ),
            Self::OutOfRange { value, min, max } => write!(f, "is {value}; {min} to {max} is expected"),
            Self::TooManyEntries { count, max } => {
                write!(f, "length is {count}; 0 to {max} is expected")
            }
            Self::Duplicate(name) => write!(f, "names `{name}` twice"),
            Self::ReversedRange { min, max } => {
                write!(f, "has the range {min} to {max}; the least is expected first")
            }
            Self::EnumerationSize { count, max } => {
                write!(f, "has {count} names; 1 to {max} are expected")
            }
            Self::TooDeep { max } => write!(f, "stands more than {max} deep"),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "`{}` {}", self.path, self.violation)
    }
}

impl std::error::Error for FieldError {}

impl FieldError {
    pub(crate) fn new(path: &str, violation: Violation) -> Self {
        Self { path: path.to_owned(), violation }
    }
}

pub(crate) fn check_name(path: &str, text: &str) -> Result<(), FieldError> {
    let is_name =
        !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(|byte| byte.is_ascii_graphic());
    if is_name {
        return Ok(());
    }
    Err(FieldError::new(path, Violation::NotAName(text.to_owned())))
}

pub(crate) fn check_range(path: &str, value: u64, min: u64, max: u64) -> Result<(), FieldError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(FieldError::new(path, Violation::OutOfRange { value, min, max }))
}

pub(crate) fn check_count(path: &str, count: usize, max: usize) -> Result<(), FieldError> {
    if count <= max {
        return Ok(());
    }
    Err(FieldError::new(path, Violation::TooManyEntries { count: count as u64, max: max as u64 }))
}

/// Checks that no name stands twice; of several that do, the first in alphabetical order is told.
pub(crate) fn check_distinct<'a>(path: &str, names: impl Iterator<Item = &'a str>) -> Result<(), FieldError> {
    let mut sorted: Vec<&str> = names.collect();
    sorted.sort_unstable();
    match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(FieldError::new(path, Violation::Duplicate(pair[0].to_owned()))),
        None => Ok(()),
    }
}
