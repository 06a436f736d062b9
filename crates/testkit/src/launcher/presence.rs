//! Planned and unplanned changes of daemons and targets, each recorded in the history.

use std::time::{Duration, Instant};

use super::child::{Child, LaunchError, Signal};
use super::cluster::Cluster;
use super::records::daemon_party;
use crate::history::{Change, Event};

impl Cluster {
    /// Records a change of presence that this launcher or its user causes.
    ///
    /// Record an absence and a start before they begin, so that no effect precedes its record, and
    /// a return once it is complete.
    pub fn record_daemon(&mut self, index: usize, change: Change) {
        let name = self.nodes[index].plan.name.clone();
        let event = Event::Presence {
            beside: Some(name.clone()),
            change,
        };
        self.presence.append_for(&daemon_party(&name), event);
    }

    /// Records a change of presence of a target.
    pub fn record_target(&mut self, index: usize, change: Change) {
        let name = self.nodes[index].plan.name.clone();
        let event = Event::Presence {
            beside: None,
            change,
        };
        self.presence.append_for(&name, event);
    }

    /// Records that a target leaves although it doesn't say so itself.
    pub fn record_leaving(&mut self, index: usize) {
        let name = self.nodes[index].plan.name.clone();
        self.presence.append_for(&name, Event::Leaving);
    }

    /// Records a change of presence of the platform.
    pub fn record_platform(&mut self, change: Change) {
        let event = Event::Presence {
            beside: None,
            change,
        };
        self.presence.append_for("platform", event);
    }

    /// Asks a daemon for a graceful shutdown and waits for its end; `false` if it had to be killed
    /// after `limit`.
    ///
    /// # Errors
    ///
    /// The daemon can't be signalled or waited for.
    pub fn stop_daemon(&mut self, index: usize, limit: Duration) -> Result<bool, LaunchError> {
        self.begin_stop(index)?;
        self.finish_stop(index, limit)
    }

    /// Asks all daemons for a graceful shutdown and returns the names of those that had to be killed
    /// after `limit`.
    ///
    /// # Errors
    ///
    /// A daemon can't be signalled or waited for.
    pub fn stop_daemons(&mut self, limit: Duration) -> Result<Vec<String>, LaunchError> {
        let end = Instant::now() + limit;
        for index in 0..self.nodes.len() {
            self.begin_stop(index)?;
        }
        let mut killed = Vec::new();
        for index in 0..self.nodes.len() {
            let left = end.saturating_duration_since(Instant::now());
            if !self.finish_stop(index, left)? {
                killed.push(self.nodes[index].plan.name.clone());
            }
        }
        Ok(killed)
    }

    /// Starts several daemons together, killing those that run, and waits until all are ready.
    ///
    /// # Errors
    ///
    /// One can't be started or doesn't become ready.
    pub fn restart_daemons(&mut self, indices: &[usize]) -> Result<(), LaunchError> {
        for index in indices {
            if self.nodes[*index].daemon.is_some() {
                self.kill_daemon(*index);
            }
        }
        // All are started before the first is waited for: each needs peers to be ready.
        for index in indices {
            self.spawn_daemon(*index)?;
        }
        for index in indices {
            self.wait_daemon(*index)?;
        }
        Ok(())
    }

    /// Starts the daemon of one instance, killing one that runs, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// It can't be started or doesn't become ready.
    pub fn restart_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        self.restart_daemons(&[index])
    }

    /// Kills a daemon.
    pub fn kill_daemon(&mut self, index: usize) {
        self.record_daemon(index, Change::Killed);
        self.nodes[index].daemon = None;
    }

    /// Kills a target.
    pub fn kill_target(&mut self, index: usize) {
        self.record_target(index, Change::Killed);
        self.nodes[index].target = None;
    }

    /// Pauses a daemon until [`Cluster::resume_daemon`].
    ///
    /// # Errors
    ///
    /// The daemon can't be signalled.
    pub fn pause_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        self.record_daemon(index, Change::CutOff);
        signal(self.nodes[index].daemon.as_ref(), Signal::Stop)
    }

    /// Resumes a paused daemon.
    ///
    /// # Errors
    ///
    /// The daemon can't be signalled.
    pub fn resume_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        signal(self.nodes[index].daemon.as_ref(), Signal::Continue)?;
        self.record_daemon(index, Change::Restored);
        Ok(())
    }

    fn begin_stop(&mut self, index: usize) -> Result<(), LaunchError> {
        if self.nodes[index].daemon.is_some() {
            self.record_daemon(index, Change::Stopping);
        }
        signal(self.nodes[index].daemon.as_ref(), Signal::Terminate)
    }

    fn finish_stop(&mut self, index: usize, limit: Duration) -> Result<bool, LaunchError> {
        let Some(mut daemon) = self.nodes[index].daemon.take() else {
            return Ok(true);
        };
        let ended = daemon.wait(limit)?.is_some();
        let change = if ended {
            Change::Stopped
        } else {
            Change::Killed
        };
        self.record_daemon(index, change);
        Ok(ended)
    }
}

fn signal(child: Option<&Child>, signal: Signal) -> Result<(), LaunchError> {
    child.map_or(Ok(()), |child| child.signal(signal))
}
