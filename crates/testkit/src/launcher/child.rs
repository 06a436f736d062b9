//! One child process.

use std::fmt;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Time between two looks at a child that should become ready or end.
const POLL: Duration = Duration::from_millis(10);

/// Why a deployment can't be started or controlled.
#[derive(Debug)]
pub enum LaunchError {
    /// A child ended before it was ready.
    Ended(String, ExitStatus),
    /// A file, process or socket operation failed.
    Io(String, io::Error),
    /// A child was not ready in time.
    Late(String),
    /// A child answered a control request with a fault.
    Refused(String),
}

impl fmt::Display for LaunchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ended(name, status) => write!(f, "{name} ended before it was ready: {status}"),
            Self::Io(what, e) => write!(f, "{what}: {e}"),
            Self::Late(name) => write!(f, "{name} was not ready in time"),
            Self::Refused(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for LaunchError {}

impl LaunchError {
    /// Adds what was being done to an I/O error.
    pub fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |e| Self::Io(what, e)
    }
}

/// Signals that the tests send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Resume after [`Signal::Stop`].
    Continue,
    /// Pause the process.
    Stop,
    /// Ask for a graceful shutdown.
    Terminate,
}

impl Signal {
    const fn option(self) -> &'static str {
        match self {
            Self::Continue => "-CONT",
            Self::Stop => "-STOP",
            Self::Terminate => "-TERM",
        }
    }
}

/// A running child; it is killed when dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: std::process::Child,
}

impl Child {
    /// Starts `program`, found beside the current executable, with its output in `log`.
    ///
    /// # Errors
    ///
    /// The program or the log can't be opened.
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
        let spawned = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(copy)
            .spawn();
        Ok(Self {
            name: name.to_owned(),
            process: spawned.map_err(LaunchError::io(path.display().to_string()))?,
        })
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal to this process only.
    ///
    /// # Errors
    ///
    /// `kill` can't be run or reports a failure.
    pub fn signal(&self, signal: Signal) -> Result<(), LaunchError> {
        // The standard library sends only SIGKILL, and unsafe code is denied in this workspace.
        let status = Command::new("kill")
            .args([signal.option(), &self.pid().to_string()])
            .status()
            .map_err(LaunchError::io("kill"))?;
        if status.success() {
            Ok(())
        } else {
            Err(LaunchError::Refused(format!(
                "kill {}: {status}",
                self.name
            )))
        }
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// The process can't be waited for.
    pub fn kill(&mut self) -> Result<(), LaunchError> {
        // Killing a process that has already ended fails, which is no fault here.
        let _ = self.process.kill();
        let ended = self.process.wait();
        ended.map(drop).map_err(LaunchError::io(self.name.clone()))
    }

    /// Waits until the process has ended by itself; `None` if it has not within `limit`.
    ///
    /// # Errors
    ///
    /// The process can't be waited for.
    pub fn wait(&mut self, limit: Duration) -> Result<Option<ExitStatus>, LaunchError> {
        let end = Instant::now() + limit;
        loop {
            let status = self.process.try_wait();
            let status = status.map_err(LaunchError::io(self.name.clone()))?;
            if status.is_some() || Instant::now() >= end {
                return Ok(status);
            }
            std::thread::sleep(POLL);
        }
    }

    /// Waits until `ready` holds.
    ///
    /// # Errors
    ///
    /// The process ends, or `ready` doesn't hold within `limit`.
    pub fn wait_ready(
        &mut self,
        limit: Duration,
        ready: impl Fn() -> bool,
    ) -> Result<(), LaunchError> {
        let end = Instant::now() + limit;
        while !ready() {
            if let Some(status) = self.wait(Duration::ZERO)? {
                return Err(LaunchError::Ended(self.name.clone(), status));
            }
            if Instant::now() >= end {
                return Err(LaunchError::Late(self.name.clone()));
            }
            std::thread::sleep(POLL);
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

/// Programs lie beside the current one; test executables lie one folder deeper.
fn program_path(program: &str) -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let folders = current.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(program));
    let found = paths.find(|path| path.is_file());
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "not built"))
}
