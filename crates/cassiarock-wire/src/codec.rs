//! Encodes and decodes frames.

use crate::Frame;

/// Why a frame could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame could not be encoded. Only running out of memory causes it.
    #[error("encode a frame: {0}")]
    Encode(String),
    /// The bytes are not a frame of this version. The peer runs another version or is not
    /// part of this system; the link is closed.
    #[error("decode a frame: {0}")]
    Decode(String),
}

/// Encodes `frame` as CBOR, the payload of one websocket message.
///
/// # Errors
///
/// `Error::Encode` if the encoder fails.
///
/// ```
/// use cassiarock_wire::{Frame, decode, encode};
/// let bytes = encode(&Frame::Leaving)?;
/// assert_eq!(decode(&bytes)?, Frame::Leaving);
/// # Ok::<(), cassiarock_wire::Error>(())
/// ```
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut bytes).map_err(|e| Error::Encode(e.to_string()))?;
    Ok(bytes)
}

/// Decodes one frame from `bytes`.
///
/// # Errors
///
/// `Error::Decode` if `bytes` are not a frame or continue after its end.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let mut rest = bytes;
    let frame = ciborium::from_reader(&mut rest).map_err(|e| Error::Decode(e.to_string()))?;
    if !rest.is_empty() {
        return Err(Error::Decode(format!(
            "{} bytes after the frame",
            rest.len()
        )));
    }
    Ok(frame)
}
