//! Child processes of the launcher.

use std::fmt;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use super::resources;

/// Interval at which a child that should become ready or exit is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Failure to start or control a deployment.
#[derive(Debug)]
pub enum LaunchError {
    /// A child exited before it was ready.
    Exited(String, ExitStatus),
    /// A file, process or socket operation failed.
    Io(String, io::Error),
    /// A child did not become ready in time.
    TimedOut(String),
    /// A control request, a signal or the conversion of a value failed.
    Failed(String),
}

impl fmt::Display for LaunchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exited(name, status) => write!(f, "{name} exited before it was ready: {status}"),
            Self::Io(what, e) => write!(f, "{what}: {e}"),
            Self::TimedOut(name) => write!(f, "{name} did not become ready in time"),
            Self::Failed(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for LaunchError {}

impl LaunchError {
    /// Returns a function that adds the context `what` to an I/O error.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |e| Self::Io(what, e)
    }
}

/// Signal that can be sent to a child.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Resumes the process after [`Signal::Stop`].
    Continue,
    /// Asks to exit as a terminal's Ctrl-C does.
    Interrupt,
    /// Asks to reread the settings.
    Reload,
    /// Pauses the process.
    Stop,
    /// Requests a graceful shutdown.
    Terminate,
}

impl Signal {
    const fn option(self) -> &'static str {
        match self {
            Self::Continue => "-CONT",
            Self::Interrupt => "-INT",
            Self::Reload => "-HUP",
            Self::Stop => "-STOP",
            Self::Terminate => "-TERM",
        }
    }
}

/// A child process, which is killed when dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
}

impl Child {
    /// Starts `program` from the directory of the current executable or its parent directory, and
    /// appends its output to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started or the log can't be opened.
    pub fn start(
        name: &str,
        program: &str,
        arguments: &[String],
        log: &Path,
    ) -> Result<Self, LaunchError> {
        let path = program_path(program).map_err(LaunchError::io(program))?;
        let opened = File::options().create(true).append(true).open(log);
        let out = opened.map_err(LaunchError::io(log.display().to_string()))?;
        let copy = out.try_clone().map_err(LaunchError::io("log"))?;
        let mut command = Command::new(&path);
        command.args(arguments).stdin(Stdio::null());
        command.stdout(out).stderr(copy);
        let lock = resources::lock();
        let spawned = command.spawn();
        drop(lock);
        Ok(Self {
            name: name.to_owned(),
            process: spawned.map_err(LaunchError::io(path.display().to_string()))?,
        })
    }

    /// Process ID of the child.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal to this process, but not to its children.
    ///
    /// # Errors
    ///
    /// Returns an error if `kill` can't be run or fails.
    pub fn signal(&self, signal: Signal) -> Result<(), LaunchError> {
        // The standard library can send only SIGKILL, and the workspace denies unsafe code.
        let mut command = Command::new("kill");
        command.args([signal.option(), &self.pid().to_string()]);
        let lock = resources::lock();
        let status = command.status();
        drop(lock);
        let status = status.map_err(LaunchError::io("kill"))?;
        if status.success() {
            Ok(())
        } else {
            Err(LaunchError::Failed(format!("kill {}: {status}", self.name)))
        }
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for the process fails.
    pub fn kill(&mut self) -> Result<(), LaunchError> {
        // The process may already have exited.
        let _ = self.process.kill();
        let ended = self.process.wait();
        ended.map(drop).map_err(LaunchError::io(self.name.clone()))
    }

    /// Waits until the process exits; `None` if it is still running after `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for the process fails.
    pub fn wait(&mut self, limit: Duration) -> Result<Option<ExitStatus>, LaunchError> {
        let end = Instant::now() + limit;
        loop {
            let status = self.process.try_wait();
            let status = status.map_err(LaunchError::io(self.name.clone()))?;
            if status.is_some() || Instant::now() >= end {
                return Ok(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until `ready` returns true.
    ///
    /// # Errors
    ///
    /// Returns an error if the process exits, or if `ready` does not return true within `limit`.
    pub fn wait_ready(
        &mut self,
        limit: Duration,
        ready: impl Fn() -> bool,
    ) -> Result<(), LaunchError> {
        let end = Instant::now() + limit;
        while !ready() {
            if let Some(status) = self.wait(Duration::ZERO)? {
                return Err(LaunchError::Exited(self.name.clone(), status));
            }
            if Instant::now() >= end {
                return Err(LaunchError::TimedOut(self.name.clone()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if let Err(e) = self.kill() {
            eprintln!("{e}");
        }
    }
}

/// Finds a program in the directory of the current executable or its parent, since test executables
/// are one directory deeper than other programs.
fn program_path(program: &str) -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let folders = current.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(program));
    let found = paths.find(|path| path.is_file());
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "the program has not been built"))
}
