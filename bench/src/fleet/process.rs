//! One child process, ended by its id and with its owner at the latest.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::FleetError;
use super::wait::wait_until;

/// Last bytes of a log that an error shows.
const LOG_TAIL_BYTES: usize = 2_000;

/// A running child process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program; its output goes to `NAME.log` in `dir`.
    ///
    /// # Errors
    /// Fails if the program or its log cannot be opened.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        dir: &Path,
    ) -> Result<Self, FleetError> {
        let log = dir.join(format!("{name}.log"));
        let output = open_log(&log)?;
        let errors = output.try_clone().map_err(|source| FleetError::File {
            path: log.clone(),
            source,
        })?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|source| FleetError::Spawn {
                program: program.to_owned(),
                source,
            })?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process runs; a frozen one does.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process at once and reaps it.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
    }

    /// Stops the process from running without its knowledge.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process run on.
    pub fn wake(&mut self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to end by itself.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    /// Fails if it runs on past `limit`.
    pub async fn wait_end(&mut self, limit: Duration) -> Result<ExitStatus, FleetError> {
        let mut status = None;
        wait_until(limit, async || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        })
        .await;
        status.ok_or_else(|| FleetError::StillRunning {
            name: self.name.clone(),
        })
    }

    /// What the process wrote so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The end of what the process wrote.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let mut from = log.len().saturating_sub(LOG_TAIL_BYTES);
        while !log.is_char_boundary(from) {
            from += 1;
        }
        log[from..].to_owned()
    }

    /// Signals the process unless it was reaped: its id may be another's by then.
    fn signal(&mut self, signal: Signal) {
        if self.is_running() {
            let _ = kill_process(Pid::from_child(&self.child), signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn open_log(path: &Path) -> Result<File, FleetError> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|source| FleetError::File {
            path: path.to_owned(),
            source,
        })
}
