//! Compresses configurations that entries send to each other.

use cassiarock_id::Name;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{self, Read};

/// Longest decompressed text, sixty times the largest record that the platform's store takes.
/// Longer data cannot be a configuration and must not exhaust an entry's memory.
const MAX_TEXT_BYTES: u64 = 16 << 20;

/// Compresses the text of a configuration. Routes are similar to each other: 1,700 routes with
/// random names shrink from 326 KB to 43 KB.
pub(crate) fn compress(text: &str) -> io::Result<Vec<u8>> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(text.as_bytes(), Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed)
}

/// Decompresses the text of a configuration, cut off after the longest allowed length.
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Name> {
    let mut text = String::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_TEXT_BYTES);
    decoder.read_to_string(&mut text)?;
    Ok(text.into())
}
