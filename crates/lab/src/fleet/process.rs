//! A process of the system under test.

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

/// How long a process may take to print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A child process, which is killed on drop.
pub struct Process {
    child: Child,
    pid: Pid,
    ended: bool,
}

impl Process {
    /// Starts a program and returns its first line of output. Its standard error goes to a log file.
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
            .ok_or_else(|| eyre!("{id}: its standard output is not piped"))?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(START_TIMEOUT, lines.next_line())
            .await
            .wrap_err_with(|| id.to_owned())??;
        let line = line.ok_or_else(|| {
            eyre!(
                "{id} ended before it printed its addresses: {}",
                log_text(directory, id)
            )
        })?;
        let pid = child
            .id()
            .ok_or_else(|| eyre!("{id} ended right after its start"))?;
        Ok((
            Self {
                child,
                pid: Pid::from_raw(pid.cast_signed()),
                ended: false,
            },
            line,
        ))
    }

    /// Returns whether the process was neither killed nor waited for.
    #[must_use]
    pub fn is_running(&self) -> bool {
        !self.ended
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    /// Fails if it can't be killed.
    pub async fn kill(&mut self) -> eyre::Result<()> {
        self.ended = true;
        Ok(self.child.kill().await?)
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    /// Fails if the process no longer exists.
    pub fn freeze(&self) -> eyre::Result<()> {
        Ok(kill(self.pid, Signal::SIGSTOP)?)
    }

    /// Continues a suspended process with SIGCONT.
    ///
    /// # Errors
    /// Fails if the process no longer exists.
    pub fn thaw(&self) -> eyre::Result<()> {
        Ok(kill(self.pid, Signal::SIGCONT)?)
    }

    /// Requests a graceful stop with SIGTERM.
    ///
    /// # Errors
    /// Fails if the process no longer exists.
    pub fn terminate(&self) -> eyre::Result<()> {
        Ok(kill(self.pid, Signal::SIGTERM)?)
    }

    /// Waits for the process to end; returns its exit code, or `None` if a signal ended it.
    ///
    /// # Errors
    /// Fails if it can't be waited for.
    pub async fn wait(&mut self) -> eyre::Result<Option<i32>> {
        let status = self.child.wait().await?;
        self.ended = true;
        Ok(status.code())
    }
}

fn log_text(directory: &TempDir, id: &str) -> String {
    std::fs::read_to_string(directory.path().join(format!("{id}.log"))).unwrap_or_default()
}

/// Finds the folder with the programs of the system: the folder of this program, or its parent for
/// tests, which are built one folder deeper.
fn program_folder() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .into_iter()
        .find(|folder| folder.join("tealshore-router").exists());
    found.map(PathBuf::from).ok_or_else(|| {
        eyre!("the programs of the system are not built: run `cargo build --workspace --bins`")
    })
}
