//! Checks of the limits on the fields of a decoded message. Each error names the field and the limit it violates.

use std::fmt;

/// The longest name of a node, budget, wallet, request class or schema field, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// The largest amount in units. It is so far below `u64::MAX` that the sum of all amounts in a message can't overflow.
pub(crate) const MAX_AMOUNT: u64 = 1 << 40;
/// The longest duration: one day, in microseconds.
pub(crate) const MAX_DURATION_US: u64 = 86_400_000_000;

/// An error about one field of a message: its path, and the limit that its value violates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The path of the field in the message by its wire names, such as `wants[0].in_use`.
    pub path: String,
    /// The limit that the value violates.
    pub violation: Violation,
}

/// The limit that the value of a field violates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The text is not a valid name: a single word of printable ASCII characters, of limited length.
    NotAName(String),
    /// The value is out of range.
    OutOfRange {
        /// The value in the message.
        value: u64,
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
    /// A list or map has too many entries.
    TooManyEntries {
        /// The number of entries.
        count: u64,
        /// The largest allowed number of entries.
        max: u64,
    },
    /// A list has two entries with this name.
    Duplicate(String),
    /// The minimum of an integer range is larger than its maximum.
    ReversedRange {
        /// The stated minimum.
        min: i64,
        /// The stated maximum.
        max: i64,
    },
    /// An enumeration has no names, or too many.
    EnumerationSize {
        /// The number of names.
        count: usize,
        /// The largest allowed number of names.
        max: usize,
    },
    /// Records are nested too deeply.
    TooDeep {
        /// The largest allowed nesting depth.
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

/// Checks that no two names are equal. The error names the alphabetically first duplicate.
pub(crate) fn check_distinct<'a>(path: &str, names: impl Iterator<Item = &'a str>) -> Result<(), FieldError> {
    let mut sorted: Vec<&str> = names.collect();
    sorted.sort_unstable();
    match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(FieldError::new(path, Violation::Duplicate(pair[0].to_owned()))),
        None => Ok(()),
    }
}
