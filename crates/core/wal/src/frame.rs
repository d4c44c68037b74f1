//! The file format. A file starts with 8 magic bytes. A log file has any number of frames after them, a checksummed file
//! such as a snapshot exactly one. A frame consists of length, CRC-32C, number and content.

/// The first bytes of a log file.
pub(crate) const LOG_MAGIC: &[u8; 8] = b"LXTLOG\x001";
/// The first bytes of a checksummed file.
const CHECKSUMMED_MAGIC: &[u8; 8] = b"LXTSNP\x001";
/// The header of a frame: length (4 bytes), CRC (4 bytes) and number (8 bytes), all little-endian.
const HEADER_BYTES: usize = 4 + 4 + 8;
/// A frame with longer content counts as damaged. The limit is checked on reading only; writers stay far below it.
const MAX_CONTENT_BYTES: usize = 256 << 20;
/// Bytes whose frame number would be this far above the expected one are not a frame of the log.
const MAX_NUMBER_GAP: u64 = 1 << 32;

/// A complete frame whose CRC matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub number: u64,
    pub content: &'a [u8],
    /// The offset of the byte after the frame.
    pub end: usize,
}

/// Appends a frame to `out`.
pub(crate) fn write_frame(out: &mut Vec<u8>, number: u64, content: &[u8]) {
    out.extend((content.len() as u32).to_le_bytes());
    out.extend(crc(number, content).to_le_bytes());
    out.extend(number.to_le_bytes());
    out.extend_from_slice(content);
}

/// The CRC-32C over number and content.
fn crc(number: u64, content: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&number.to_le_bytes()), content)
}

/// Reads the frame at an offset; `None` if it is incomplete, too long, or its CRC does not match.
pub(crate) fn read_frame(file: &[u8], offset: usize) -> Option<Frame<'_>> {
    let header = file.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let stored_crc = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let number = u64::from_le_bytes(header[8..].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let end = start.checked_add(length)?;
    let content = file.get(start..end)?;
    let is_valid = length <= MAX_CONTENT_BYTES && crc(number, content) == stored_crc;
    is_valid.then_some(Frame { number, content, end })
}

/// Whether a valid frame with a number of at least `min_number` starts at any offset from `from` on. This distinguishes an
/// incomplete write, which nothing follows, from damage, which acknowledged entries follow.
pub(crate) fn any_frame(file: &[u8], from: usize, min_number: u64) -> bool {
    (from..file.len()).any(|offset| {
        // Comparing the number first avoids computing a CRC at every offset of a large file.
        let number = file.get(offset + 8..offset + HEADER_BYTES).and_then(|bytes| bytes.try_into().ok());
        let number = number.map(u64::from_le_bytes);
        let plausible = number.is_some_and(|n| n >= min_number && n - min_number < MAX_NUMBER_GAP);
        plausible && read_frame(file, offset).is_some()
    })
}

/// The decoded number and content of a checksummed file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChecksummedFile<'a> {
    /// The number that the writer chose. In a snapshot, the number of the first entry after it.
    pub number: u64,
    /// The bytes that the writer stored, without header and checksum.
    pub content: &'a [u8],
}

/// Encodes a number and a content as a file with a checksum. [`decode_checksummed_file`] decodes it.
pub fn encode_checksummed_file(number: u64, content: &[u8]) -> Vec<u8> {
    let mut out = CHECKSUMMED_MAGIC.to_vec();
    write_frame(&mut out, number, content);
    out
}

/// Decodes a checksummed file; `None` if it is incomplete or damaged.
pub fn decode_checksummed_file(file: &[u8]) -> Option<ChecksummedFile<'_>> {
    file.strip_prefix(CHECKSUMMED_MAGIC)?;
    let Frame { number, content, end } = read_frame(file, CHECKSUMMED_MAGIC.len())?;
    (end == file.len()).then_some(ChecksummedFile { number, content })
}
