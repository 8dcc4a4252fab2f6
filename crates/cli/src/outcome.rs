//! The result of a command and its exit code.

use tealshore_core::exit;

/// The result of a command.
pub enum Outcome {
    /// The command succeeded.
    Done,
    /// The arguments or an input file are invalid; nothing was done.
    Usage(String),
    /// The command failed.
    Failed(String),
    /// It is unknown whether the command took effect.
    Unknown(String),
}

impl Outcome {
    /// Prints the cause of an error to standard error.
    pub fn report(&self) {
        match self {
            Self::Done => {}
            Self::Usage(cause) | Self::Failed(cause) | Self::Unknown(cause) => {
                eprintln!("tealshore: {cause}")
            }
        }
    }

    /// Returns the exit code of the process.
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
