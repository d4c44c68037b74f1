//! The stored form of entries and of sealed files: a frame of length, CRC-32C, number and content, behind the magic bytes
//! that begin a file.

/// Begins a log.
pub(crate) const LOG_MAGIC: &[u8; 8] = b"LXTLOG\x001";
/// Begins a sealed file, such as a snapshot.
const SEALED_MAGIC: &[u8; 8] = b"LXTSNP\x001";
/// Length (4 bytes), CRC (4) and number (8) before a frame's content, all little-endian.
const HEADER_BYTES: usize = 4 + 4 + 8;
/// The content of a frame is no longer than this: a reader takes more for damage. Writers keep far below it; that is not
/// checked here.
const MAX_CONTENT_BYTES: usize = 256 << 20;
/// Numbers that lie further apart than this do not belong to one log.
const MAX_NUMBER_GAP: u64 = 1 << 32;

/// A whole frame with a right CRC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub number: u64,
    pub content: &'a [u8],
    /// Where it ends, in bytes from the file's start.
    pub end: usize,
}

/// Appends a frame.
pub(crate) fn write_frame(out: &mut Vec<u8>, number: u64, content: &[u8]) {
    out.extend((content.len() as u32).to_le_bytes());
    out.extend(crc(number, content).to_le_bytes());
    out.extend(number.to_le_bytes());
    out.extend_from_slice(content);
}

/// The CRC over number and content.
fn crc(number: u64, content: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&number.to_le_bytes()), content)
}

/// The frame at an offset, if a whole one with a right CRC stands there.
pub(crate) fn read_frame(file: &[u8], offset: usize) -> Option<Frame<'_>> {
    let header = file.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let stored_crc = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let number = u64::from_le_bytes(header[8..].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let end = start.checked_add(length)?;
    let content = file.get(start..end)?;
    let is_whole = length <= MAX_CONTENT_BYTES && crc(number, content) == stored_crc;
    is_whole.then_some(Frame { number, content, end })
}

/// Whether a whole frame with a number from `min_number` on stands anywhere from an offset on. It tells a write that
/// broke off (nothing follows) from damage (acknowledged entries follow).
pub(crate) fn any_frame(file: &[u8], from: usize, min_number: u64) -> bool {
    (from..file.len()).any(|offset| {
        // The number is compared first: a CRC at each offset would take long in a large file.
        let number = file.get(offset + 8..offset + HEADER_BYTES).and_then(|bytes| bytes.try_into().ok());
        let number = number.map(u64::from_le_bytes);
        let plausible = number.is_some_and(|n| n >= min_number && n - min_number < MAX_NUMBER_GAP);
        plausible && read_frame(file, offset).is_some()
    })
}

/// A sealed file taken apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChecksummedFile<'a> {
    /// The number it was sealed with; of a snapshot, that of the first entry after it.
    pub number: u64,
    /// Its content.
    pub content: &'a [u8],
}

/// A snapshot or other whole file with its checksum: number and content come back from [`decode_checksummed_file`].
pub fn encode_checksummed_file(number: u64, content: &[u8]) -> Vec<u8> {
    let mut out = SEALED_MAGIC.to_vec();
    write_frame(&mut out, number, content);
    out
}

/// Takes a sealed file apart; none where it is not whole.
pub fn decode_checksummed_file(file: &[u8]) -> Option<ChecksummedFile<'_>> {
    file.strip_prefix(SEALED_MAGIC)?;
    let Frame { number, content, end } = read_frame(file, SEALED_MAGIC.len())?;
    (end == file.len()).then_some(ChecksummedFile { number, content })
}
