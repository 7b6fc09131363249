//! Whether a job is admitted, when it is due, and when a refused one may come again.

mod backlog;
mod controller;
mod request;
mod settings;
mod spread;
mod team;

pub use controller::AdmissionController;
pub use request::{AdmissionRequest, Answer, Reason};
pub use settings::Settings;
pub use team::{Share, Usage};
