//! Limits of the callers' API.

use crate::check::{self, Check, Problem};
use crate::units::{Bytes, Time};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::time::Duration;

/// Limits on the requests of one caller and of all callers of an entry. A submission that
/// exceeds a limit is rejected before any of its tasks start.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body of a submission, in bytes.
    #[serde_as(as = "Bytes")]
    pub body: usize,
    /// What the bodies of all requests may keep in memory, in bytes.
    #[serde_as(as = "Bytes")]
    pub bodies: usize,
    /// Largest request head (line and headers), in bytes.
    #[serde_as(as = "Bytes")]
    pub headers: usize,
    /// Maximum number of open connections over all callers.
    pub connections: usize,
    /// Maximum number of tasks in one job.
    pub tasks: usize,
    /// Longest id, kind or team in a submission, in bytes.
    #[serde_as(as = "Bytes")]
    pub name: usize,
    /// Longest deadline that a submission may request.
    #[serde_as(as = "Time")]
    pub deadline: Duration,
    /// How long a caller may take to send a request's head, and likewise its body.
    #[serde_as(as = "Time")]
    pub receive: Duration,
}

impl Limits {
    /// Tasks in the largest job that the system is designed for.
    pub const LARGEST_JOB: usize = 860;

    pub(crate) fn check(&self) -> Check {
        const HOUR: Duration = Duration::from_secs(3600);
        check::positive("limits.body", self.body)?;
        self.check_bodies()?;
        check::positive("limits.headers", self.headers)?;
        check::positive("limits.connections", self.connections)?;
        check::positive("limits.tasks", self.tasks)?;
        check::positive("limits.name", self.name)?;
        check::at_most("limits.tasks", self.tasks, Self::LARGEST_JOB)?;
        check::between(
            "limits.deadline",
            self.deadline,
            Duration::from_millis(1),
            HOUR,
        )?;
        check::between(
            "limits.receive",
            self.receive,
            Duration::from_millis(100),
            HOUR,
        )
    }
}

impl Limits {
    /// A quarter of the memory for bodies is kept for small ones, so that a body of the largest size needs
    /// more than its own.
    fn check_bodies(&self) -> Check {
        let least = self.body.saturating_mul(2);
        if self.bodies >= least {
            return Ok(());
        }
        Err(Problem::new(
            "limits.bodies",
            format!("{} bytes hold too few bodies", self.bodies),
            format!("give at least {least}B, twice `limits.body`"),
        ))
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            bodies: 64 << 20,
            headers: 16 << 10,
            connections: 4096,
            tasks: Self::LARGEST_JOB,
            name: 128,
            deadline: Duration::from_secs(300),
            receive: Duration::from_secs(10),
        }
    }
}
