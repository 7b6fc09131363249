//! Errors of loading a scenario.

/// Why a scenario could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file is invalid. The message names the file, the field and the remedy.
    #[error(transparent)]
    Settings(#[from] cassiarock_settings::Error),
}
