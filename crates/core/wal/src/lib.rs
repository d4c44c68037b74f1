//! A log of numbered entries and snapshots that shorten it. It knows no file system: a [`Disk`] carries out
//! what it says, and may fail or lose what was not made durable at any step.
//!
//! Files of a journal called `zone`: `zone.G.snap`, a snapshot with generation G, and `zone.G.log`, the entries
//! after it. A new generation begins with its log ([`Journal::rotate`]); its snapshot follows when it is ready
//! and is the point from which the older ones are not needed. So nothing waits for a snapshot, and a stop at
//! any step leaves a snapshot and all logs after it.
//!
//! Every entry carries its number, its length and a CRC-32C over both and its octets. What breaks off at the
//! end of the newest log was never acknowledged and is cut off; anything else is damage, and is told.

#![forbid(unsafe_code)]

use std::fmt;
use std::io;

/// What a journal needs of a folder.
pub trait Disk {
    /// A file's octets; none where there is no such file.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// The files there are, in the order of their names.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Adds octets at a file's end, making it where it is not there. Durable only after `sync`.
    fn append(&mut self, name: &str, octets: &[u8]) -> io::Result<()>;
    /// Makes a file durable, its name included.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Puts a whole file in place, durably; at any stop there is the old one or the new one.
    fn replace(&mut self, name: &str, octets: &[u8]) -> io::Result<()>;
    /// Shortens a file, durably.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Takes a file away.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// What is wrong with a journal.
#[derive(Debug)]
pub enum Fault {
    /// The folder failed.
    Disk {
        /// The file.
        file: String,
        /// Why.
        why: io::Error,
    },
    /// A file is not what it should be; what stands behind that place can't be trusted.
    Damaged {
        /// The file.
        file: String,
        /// Where, in octets from its start.
        at: u64,
        /// What was found.
        what: &'static str,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Disk { file, why } => write!(f, "{file}: {why}"),
            Self::Damaged { file, at, what } => write!(f, "{file}: at octet {at}: {what}"),
        }
    }
}

impl std::error::Error for Fault {}

/// What was cut off at the end of the newest log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The file.
    pub file: String,
    /// From where on.
    pub at: u64,
    /// How many octets.
    pub octets: u64,
}

/// What was found when a journal was opened.
#[derive(Debug, Default)]
pub struct Found {
    /// The newest whole snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after it.
    pub entries: Vec<Vec<u8>>,
    /// An entry that was never acknowledged and is cut off.
    pub cut: Option<Cut>,
    /// What else is wrong. The entries end there; nothing may be added before somebody has looked.
    pub damage: Vec<Fault>,
}

const LOG_MAGIC: &[u8; 8] = b"LXTLOG\x001";
const SNAP_MAGIC: &[u8; 8] = b"LXTSNP\x001";
/// Length, CRC and number before each entry's octets.
const HEAD: usize = 4 + 4 + 8;
/// An entry is no longer than this; more can only be damage.
pub const ENTRY_MOST: usize = 256 << 20;

/// A journal that entries are added to.
#[derive(Debug)]
pub struct Journal {
    name: String,
    generation: u64,
    next: u64,
    /// Whether the present log has its head already.
    begun: bool,
    pending: Vec<u8>,
    /// How long the logs since the last snapshot are.
    grown: u64,
}

/// Octets to be added to a file and made durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The file.
    pub file: String,
    /// What to add.
    pub octets: Vec<u8>,
    /// Once it is durable, all entries below this number are.
    pub up_to: u64,
}

/// A generation that has begun and waits for its snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotation {
    /// The generation.
    pub generation: u64,
    /// The number of the first entry after the snapshot.
    pub next: u64,
}

fn frame(out: &mut Vec<u8>, number: u64, octets: &[u8]) {
    let crc = crc32c::crc32c_append(crc32c::crc32c(&number.to_le_bytes()), octets);
    out.extend((octets.len() as u32).to_le_bytes());
    out.extend(crc.to_le_bytes());
    out.extend(number.to_le_bytes());
    out.extend_from_slice(octets);
}

/// The entry at a place, if a whole one with a right CRC stands there, and where it ends.
fn entry(text: &[u8], at: usize) -> Option<(u64, &[u8], usize)> {
    let head = text.get(at..at + HEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(head[4..8].try_into().ok()?);
    let number = &head[8..16];
    let octets = text.get(at + HEAD..(at + HEAD).checked_add(length)?)?;
    let right = length <= ENTRY_MOST && crc32c::crc32c_append(crc32c::crc32c(number), octets) == crc;
    right.then(|| (u64::from_le_bytes(number.try_into().expect("eight")), octets, at + HEAD + length))
}

/// Whether a whole entry with a number from `least` on stands anywhere behind a place.
fn any_entry(text: &[u8], from: usize, least: u64) -> bool {
    (from..text.len().saturating_sub(HEAD - 1)).any(|at| {
        let number = u64::from_le_bytes(text[at + 8..at + 16].try_into().expect("eight"));
        number >= least && number - least < 1 << 32 && entry(text, at).is_some()
    })
}

/// A snapshot or other whole file with its checksum: `number` and octets come back from [`unseal`].
pub fn seal(number: u64, octets: &[u8]) -> Vec<u8> {
    let mut out = SNAP_MAGIC.to_vec();
    frame(&mut out, number, octets);
    out
}

/// Takes a sealed file apart; none where it is not whole.
pub fn unseal(text: &[u8]) -> Option<(u64, &[u8])> {
    text.strip_prefix(SNAP_MAGIC)?;
    let (number, octets, end) = entry(text, SNAP_MAGIC.len())?;
    (end == text.len()).then_some((number, octets))
}

fn disk<T>(file: &str, done: io::Result<T>) -> Result<T, Fault> {
    done.map_err(|why| Fault::Disk { file: file.to_owned(), why })
}

/// The generations whose files end in `.snap` or `.log`, in ascending order.
fn generations(files: &[String], name: &str, ending: &str) -> Vec<u64> {
    let of = |file: &String| {
        let rest = file.strip_prefix(name)?.strip_prefix('.')?.strip_suffix(ending)?.strip_suffix('.')?;
        rest.parse().ok()
    };
    let mut all: Vec<u64> = files.iter().filter_map(of).collect();
    all.sort_unstable();
    all
}

impl Journal {
    /// Opens a journal: reads what is there, cuts off what broke off at the end, and tells all it found.
    pub fn open(folder: &mut impl Disk, name: &str) -> Result<(Self, Found), Fault> {
        let (journal, found) = Self::look(folder, name)?;
        if let Some(Cut { file, at, .. }) = &found.cut {
            // Kept aside: somebody may want to see what it was.
            let text = disk(file, folder.read(file))?.unwrap_or_default();
            let aside = format!("{file}.cut");
            disk(&aside, folder.replace(&aside, &text[*at as usize..]))?;
            disk(file, folder.truncate(file, *at))?;
        }
        Ok((journal, found))
    }

    /// The same without changing anything.
    pub fn look(folder: &mut impl Disk, name: &str) -> Result<(Self, Found), Fault> {
        let files = disk(name, folder.list())?;
        let mut found = Found::default();
        let (mut base, mut next) = (0, 0);
        for generation in generations(&files, name, "snap").into_iter().rev() {
            let file = format!("{name}.{generation}.snap");
            let text = disk(&file, folder.read(&file))?.unwrap_or_default();
            if let Some((number, octets)) = unseal(&text) {
                (base, next, found.snapshot) = (generation, number, Some(octets.to_vec()));
                break;
            }
            // An older one with all logs since may stand in for it.
            found.damage.push(Fault::Damaged { file, at: 0, what: "a snapshot that is not whole" });
        }
        let logs: Vec<u64> =
            generations(&files, name, "log").into_iter().filter(|generation| *generation >= base).collect();
        let mut journal = Self {
            name: name.to_owned(),
            generation: logs.last().copied().unwrap_or(base).max(base),
            next,
            begun: false,
            pending: Vec::new(),
            grown: 0,
        };
        for &generation in &logs {
            let newest = Some(&generation) == logs.last();
            if !journal.replay(folder, generation, newest, &mut found)? {
                break;
            }
        }
        // What only a damaged newer snapshot was for is no loss where the logs reach from the older one.
        if found.snapshot.is_some() && found.damage.len() == 1 && !logs.is_empty() && logs[0] == base {
            let only_snapshot =
                matches!(&found.damage[0], Fault::Damaged { file, .. } if file.ends_with(".snap"));
            if only_snapshot {
                found.damage.clear();
            }
        }
        Ok((journal, found))
    }

    /// Reads one log; false where reading can't go on behind it.
    fn replay(
        &mut self,
        folder: &mut impl Disk,
        generation: u64,
        newest: bool,
        found: &mut Found,
    ) -> Result<bool, Fault> {
        let file = format!("{}.{generation}.log", self.name);
        let text = disk(&file, folder.read(&file))?.unwrap_or_default();
        let damaged = |at: usize, what| Fault::Damaged { file: file.clone(), at: at as u64, what };
        let cut = |at: usize| Cut { file: file.clone(), at: at as u64, octets: (text.len() - at) as u64 };
        let mut at = LOG_MAGIC.len();
        if !text.starts_with(LOG_MAGIC) {
            if text.len() < at && newest && LOG_MAGIC.starts_with(&text) {
                found.cut = (!text.is_empty()).then(|| cut(0));
                return Ok(true);
            }
            found.damage.push(damaged(0, "this is no log"));
            return Ok(false);
        }
        self.begun = newest;
        while at < text.len() {
            match entry(&text, at) {
                Some((number, octets, end)) if number == self.next => {
                    found.entries.push(octets.to_vec());
                    self.next += 1;
                    self.grown += (end - at) as u64;
                    at = end;
                }
                Some((number, ..)) => {
                    let what =
                        if number > self.next { "entries are missing" } else { "an entry out of order" };
                    found.damage.push(damaged(at, what));
                    return Ok(false);
                }
                None if newest && !any_entry(&text, at + 1, self.next) => {
                    found.cut = Some(cut(at));
                    return Ok(true);
                }
                None => {
                    found.damage.push(damaged(at, "an entry whose checksum is wrong, with more behind it"));
                    return Ok(false);
                }
            }
        }
        Ok(true)
    }

    /// Adds an entry; it is durable once a [`Batch`] with it is. Tells its number.
    pub fn add(&mut self, octets: &[u8]) -> u64 {
        let number = self.next;
        frame(&mut self.pending, number, octets);
        self.next += 1;
        number
    }

    /// The number of the next entry.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// How many octets of entries stand behind the last snapshot.
    pub fn grown(&self) -> u64 {
        self.grown
    }

    /// What was added since the last batch; none where nothing was.
    pub fn batch(&mut self) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        self.grown += self.pending.len() as u64;
        let mut octets = if self.begun { Vec::new() } else { LOG_MAGIC.to_vec() };
        self.begun = true;
        octets.append(&mut self.pending);
        Some(Batch { file: format!("{}.{}.log", self.name, self.generation), octets, up_to: self.next })
    }

    /// Begins a generation: entries from now on stand in a new log. Whatever was added before must have been
    /// taken as a batch. The snapshot of all before is written later.
    pub fn rotate(&mut self) -> Rotation {
        debug_assert!(self.pending.is_empty(), "entries of the old generation are left");
        self.generation += 1;
        (self.begun, self.grown) = (false, 0);
        Rotation { generation: self.generation, next: self.next }
    }

    /// The file of a generation's snapshot.
    pub fn snapshot_file(&self, rotation: Rotation) -> String {
        format!("{}.{}.snap", self.name, rotation.generation)
    }

    /// Writes a generation's snapshot; from then on what is older than the one before it goes.
    pub fn write_snapshot(
        folder: &mut impl Disk,
        name: &str,
        rotation: Rotation,
        octets: &[u8],
    ) -> Result<(), Fault> {
        let file = format!("{name}.{}.snap", rotation.generation);
        disk(&file, folder.replace(&file, &seal(rotation.next, octets)))?;
        let files = disk(name, folder.list())?;
        let snaps = generations(&files, name, "snap");
        let Some(before) = snaps.iter().rev().find(|generation| **generation < rotation.generation) else {
            return Ok(());
        };
        for ending in ["snap", "log"] {
            for generation in generations(&files, name, ending).into_iter().filter(|old| old < before) {
                let file = format!("{name}.{generation}.{ending}");
                disk(&file, folder.remove(&file))?;
            }
        }
        Ok(())
    }

    /// Adds what waits to the folder and makes it durable; for those who have no thread for it.
    pub fn commit(&mut self, folder: &mut impl Disk) -> Result<(), Fault> {
        if let Some(batch) = self.batch() {
            disk(&batch.file, folder.append(&batch.file, &batch.octets))?;
            disk(&batch.file, folder.sync(&batch.file))?;
        }
        Ok(())
    }
}
