//! How a command ended, and the exit code that says so.

use tealshore_core::exit;

/// How a command ended.
pub enum Outcome {
    /// It did what was asked.
    Done,
    /// The arguments or a file are wrong; nothing was done.
    Usage(String),
    /// It failed.
    Failed(String),
    /// Whether it took effect is not known.
    Unknown(String),
}

impl Outcome {
    /// Prints what went wrong.
    pub fn report(&self) {
        match self {
            Self::Done => {}
            Self::Usage(cause) | Self::Failed(cause) | Self::Unknown(cause) => {
                eprintln!("tealshore: {cause}")
            }
        }
    }

    /// The exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Done => exit::OK,
            Self::Usage(_) => exit::USAGE,
            Self::Failed(_) => exit::FAILED,
            Self::Unknown(_) => exit::UNKNOWN,
        }
    }
}
