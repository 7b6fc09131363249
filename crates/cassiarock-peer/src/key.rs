//! The key that all processes of one system share.

use cassiarock_id::Process;

const CONTEXT: &str = "cassiarock 2026 link handshake";

/// The shared key, derived from the text in the settings.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the `text` in the settings.
    ///
    /// ```
    /// use cassiarock_id::Process;
    /// use cassiarock_peer::Key;
    /// let me = Process::new("entry-1", 1);
    /// let proof = Key::new("secret").proof(&[1; 16], &[2; 16], &me);
    /// assert!(Key::new("secret").verify(&proof, &[1; 16], &[2; 16], &me));
    /// assert!(!Key::new("other").verify(&proof, &[1; 16], &[2; 16], &me));
    /// ```
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(blake3::derive_key(CONTEXT, text.as_bytes()))
    }

    /// The proof that `process` knows the key: a keyed hash over the other side's nonce, its
    /// own nonce and its identity.
    #[must_use]
    pub fn proof(&self, theirs: &[u8; 16], ours: &[u8; 16], process: &Process) -> Vec<u8> {
        self.hash(theirs, ours, process).as_bytes().to_vec()
    }

    /// Whether `proof` is the proof of `process` for these nonces, compared in constant time.
    #[must_use]
    pub fn verify(
        &self,
        proof: &[u8],
        theirs: &[u8; 16],
        ours: &[u8; 16],
        process: &Process,
    ) -> bool {
        let Ok(proof) = <[u8; 32]>::try_from(proof) else {
            return false;
        };
        self.hash(theirs, ours, process) == proof
    }

    fn hash(&self, theirs: &[u8; 16], ours: &[u8; 16], process: &Process) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(theirs);
        hasher.update(ours);
        hasher.update(&process.incarnation.to_be_bytes());
        hasher.update(process.name.as_bytes());
        hasher.finalize()
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(hidden)")
    }
}
