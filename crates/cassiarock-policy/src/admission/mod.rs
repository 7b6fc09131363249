//! Admission control: whether a job is admitted, when it is due, and when the caller of a
//! refused job may try again.

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
