//! What can go wrong in a worker.

/// How the stand-in misbehaves. Whatever it does, a start that arrives is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// It takes tasks and never answers, neither them nor health checks.
    Hang,
    /// It runs the task and closes the connection in place of an answer.
    Crash,
    /// It runs the task and answers with what is not JSON.
    Garbage,
    /// It runs the task and breaks the answer off half-way.
    Truncate,
    /// It runs the task and answers with the identity of another one.
    Cross,
    /// It fails every task at once, and says so.
    FailFast,
    /// It takes this many times as long.
    Slow(f64),
}
