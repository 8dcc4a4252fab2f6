//! One process of the system under experiment.

use {
    eyre::{WrapErr, eyre},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{fs::File, path::PathBuf, process::Stdio, time::Duration},
    tempfile::TempDir,
    tokio::{
        io::{AsyncBufReadExt, BufReader},
        process::{Child, Command},
        time::timeout,
    },
};

/// How long a process may take to say where it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One process; it is killed when dropped.
pub struct Process {
    child: Child,
    pid: Pid,
    ended: bool,
}

impl Process {
    /// Starts a program and returns its first line of output; its log goes to a file.
    pub(super) async fn start(
        directory: &TempDir,
        id: &str,
        program: &str,
        args: &[&str],
    ) -> eyre::Result<(Self, String)> {
        let log = File::create(directory.path().join(format!("{id}.log")))?;
        let mut child = Command::new(program_folder()?.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| program.to_owned())?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("{id}: no output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(START_TIMEOUT, lines.next_line())
            .await
            .wrap_err_with(|| id.to_owned())??;
        let line = line.ok_or_else(|| eyre!("{id} ended at once: {}", log_text(directory, id)))?;
        let pid = child.id().ok_or_else(|| eyre!("{id} ended at once"))?;
        Ok((
            Self {
                child,
                pid: Pid::from_raw(pid.cast_signed()),
                ended: false,
            },
            line,
        ))
    }

    /// Whether it has not been killed.
    #[must_use]
    pub fn is_running(&self) -> bool {
        !self.ended
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Kills it without notice.
    ///
    /// # Errors
    /// It can't be killed.
    pub async fn kill(&mut self) -> eyre::Result<()> {
        self.ended = true;
        Ok(self.child.kill().await?)
    }

    /// Freezes it.
    ///
    /// # Errors
    /// It is gone.
    pub fn freeze(&self) -> eyre::Result<()> {
        Ok(kill(self.pid, Signal::SIGSTOP)?)
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// It is gone.
    pub fn thaw(&self) -> eyre::Result<()> {
        Ok(kill(self.pid, Signal::SIGCONT)?)
    }

    /// Asks it to stop.
    ///
    /// # Errors
    /// It is gone.
    pub fn terminate(&self) -> eyre::Result<()> {
        Ok(kill(self.pid, Signal::SIGTERM)?)
    }

    /// Waits for its end; its exit code, or none where a signal ended it.
    ///
    /// # Errors
    /// It can't be waited for.
    pub async fn wait(&mut self) -> eyre::Result<Option<i32>> {
        let status = self.child.wait().await?;
        self.ended = true;
        Ok(status.code())
    }
}

fn log_text(directory: &TempDir, id: &str) -> String {
    std::fs::read_to_string(directory.path().join(format!("{id}.log"))).unwrap_or_default()
}

/// The folder with the system's programs: that of this program, or the one above it for
/// tests, which are built one folder deeper.
fn program_folder() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .into_iter()
        .find(|folder| folder.join("tealshore-router").exists());
    found.map(PathBuf::from).ok_or_else(|| {
        eyre!("the programs are not built: run `cargo build --workspace --bins` first")
    })
}
