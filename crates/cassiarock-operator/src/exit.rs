//! The client's exit codes.

/// How a command ended, for scripts. The numbers are part of the client's interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command line, a settings file or an input file is wrong; nothing was started.
    Usage,
    /// Another operator published first, or a job id is in use for other content.
    Conflict,
    /// Refused: nothing ran, nothing was published.
    Refused,
    /// Failed; some tasks ran or may have run.
    Failed,
    /// The log or every entry is unreachable; nothing was done.
    Unreachable,
    /// Accepted, but not finished or not in force everywhere within the wait.
    Pending,
    /// There is no such job, rule or upstream.
    NotFound,
    /// The job was cancelled.
    Cancelled,
}

impl Exit {
    /// The process's exit code.
    ///
    /// ```
    /// use cassiarock_operator::Exit;
    /// assert_eq!(Exit::Done.code(), 0);
    /// assert_eq!(Exit::Conflict.code(), 3);
    /// ```
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Refused => 4,
            Self::Failed => 5,
            Self::Unreachable => 6,
            Self::Pending => 7,
            Self::NotFound => 8,
            Self::Cancelled => 9,
        }
    }
}
