//! The names of a log's files: `NAME.GENERATION.log` and `NAME.GENERATION.snap`.

/// The kind of a file of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Log,
    Snapshot,
}

impl FileKind {
    fn extension(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::Snapshot => "snap",
        }
    }
}

pub(crate) fn file_name(log: &str, generation: u64, kind: FileKind) -> String {
    format!("{log}.{generation}.{}", kind.extension())
}

/// Whether the file name is that of a snapshot.
pub(crate) fn is_snapshot(file: &str) -> bool {
    file.ends_with(".snap")
}

/// The generations of a log that have a file of this kind, in ascending order.
pub(crate) fn generations(files: &[String], log: &str, kind: FileKind) -> Vec<u64> {
    let generation = |file: &String| {
        let rest = file.strip_prefix(log)?.strip_prefix('.')?;
        rest.strip_suffix(kind.extension())?.strip_suffix('.')?.parse().ok()
    };
    let mut generations: Vec<u64> = files.iter().filter_map(generation).collect();
    generations.sort_unstable();
    generations
}
