//! What can be wrong with a scenario.

/// Why a scenario was not played.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file is wrong. The text names file, field and remedy.
    #[error(transparent)]
    Settings(#[from] cassiarock_settings::Error),
}
