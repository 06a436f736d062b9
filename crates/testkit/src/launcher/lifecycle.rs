//! Starts, stops, kills and pauses daemons and targets, and records each change in the history.

use std::time::{Duration, Instant};

use super::child::{Child, LaunchError, Signal};
use super::cluster::Cluster;
use super::records::daemon_party;
use crate::history::{Change, Event};

impl Cluster {
    /// Records a presence change of a daemon that the launcher or its user causes.
    ///
    /// Record an absence or a start before it begins, so that no effect precedes its record. Record
    /// a return after it is complete.
    pub fn record_daemon(&mut self, index: usize, change: Change) {
        let name = self.nodes[index].plan.name.clone();
        let event = Event::Presence {
            beside: Some(name.clone()),
            change,
        };
        self.presence.append_for(&daemon_party(&name), event);
    }

    /// Records a presence change of a target.
    pub fn record_target(&mut self, index: usize, change: Change) {
        let name = self.nodes[index].plan.name.clone();
        let event = Event::Presence {
            beside: None,
            change,
        };
        self.presence.append_for(&name, event);
    }

    /// Records that a target began to leave, for targets that don't record it themselves.
    pub fn record_leaving(&mut self, index: usize) {
        let name = self.nodes[index].plan.name.clone();
        self.presence.append_for(&name, Event::Leaving);
    }

    /// Records a presence change of the platform.
    pub fn record_platform(&mut self, change: Change) {
        let event = Event::Presence {
            beside: None,
            change,
        };
        self.presence.append_for("platform", event);
    }

    /// Stops a daemon gracefully and waits until it exits; `false` if it had to be killed after
    /// `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if signalling the daemon or waiting for it fails.
    pub fn stop_daemon(&mut self, index: usize, limit: Duration) -> Result<bool, LaunchError> {
        self.begin_stop(index)?;
        self.finish_stop(index, limit)
    }

    /// Stops all daemons gracefully and returns the names of the instances whose daemons had to be
    /// killed after `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if signalling a daemon or waiting for it fails.
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

    /// Starts or restarts daemons at the same time and waits until all are ready. Running daemons
    /// are killed first.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon can't be started or doesn't become ready.
    pub fn restart_daemons(&mut self, indices: &[usize]) -> Result<(), LaunchError> {
        for index in indices {
            if self.nodes[*index].daemon.is_some() {
                self.kill_daemon(*index);
            }
        }
        // All daemons start before the first wait, since a daemon needs its peers to become ready.
        for index in indices {
            self.spawn_daemon(*index)?;
        }
        for index in indices {
            self.wait_daemon(*index)?;
        }
        Ok(())
    }

    /// Starts or restarts the daemon of an instance and waits until it is ready. A running daemon
    /// is killed first.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon can't be started or doesn't become ready.
    pub fn restart_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        self.restart_daemons(&[index])
    }

    /// Kills a daemon and records the change.
    pub fn kill_daemon(&mut self, index: usize) {
        self.record_daemon(index, Change::Killed);
        self.nodes[index].daemon = None;
    }

    /// Kills a target and records the change.
    pub fn kill_target(&mut self, index: usize) {
        self.record_target(index, Change::Killed);
        self.nodes[index].target = None;
    }

    /// Pauses a daemon until [`Cluster::resume_daemon`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error if signalling the daemon fails.
    pub fn pause_daemon(&mut self, index: usize) -> Result<(), LaunchError> {
        self.record_daemon(index, Change::CutOff);
        signal(self.nodes[index].daemon.as_ref(), Signal::Stop)
    }

    /// Resumes a paused daemon and records its return.
    ///
    /// # Errors
    ///
    /// Returns an error if signalling the daemon fails.
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
