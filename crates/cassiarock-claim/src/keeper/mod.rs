//! The claims of the jobs that an agent keeps: who owns each job.

mod claims;

pub use claims::Keeper;
