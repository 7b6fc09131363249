//! Configurations as entries pass them on: compressed.

use cassiarock_id::Name;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{self, Read};

/// The most that is unpacked: sixty times the largest record that the platform's store takes.
/// What is longer is no configuration, and must not take an entry's memory.
const LONGEST: u64 = 16 << 20;

/// Packs the text of a configuration. Routes are much alike: 1,700 with names drawn by chance,
/// 326 KB, become 43.
pub(crate) fn pack(text: &str) -> io::Result<Vec<u8>> {
    let mut packed = Vec::new();
    DeflateEncoder::new(text.as_bytes(), Compression::fast()).read_to_end(&mut packed)?;
    Ok(packed)
}

/// The text that was packed.
pub(crate) fn unpack(packed: &[u8]) -> io::Result<Name> {
    let mut text = String::new();
    let mut unpacked = DeflateDecoder::new(packed).take(LONGEST);
    unpacked.read_to_string(&mut text)?;
    Ok(text.into())
}
