//! Steps of a row and their notation: `WAIT_MS VERB ARGUMENTS`, separated by `;`.

use std::time::Duration;

use serde_json::Value;

use hawthornwall_testkit::random::Random;

/// One of the two processes of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The daemon.
    Daemon,
    /// The target.
    Target,
}

/// Instances as a row names them; the seed decides which they are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeSet {
    /// A random half of all.
    Half,
    /// The instance with this place in the shuffled order: `A`, `B` and so on.
    One(usize),
}

/// What is done at one step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Change the behaviour of a target.
    Behave(NodeSet, Value),
    /// Let a target be slow for two seconds after its next start.
    Cold(NodeSet),
    /// End all faults of the network.
    Heal,
    /// Drop everything to and from one daemon.
    Isolate(NodeSet),
    /// Kill processes.
    Kill(Part, NodeSet),
    /// List an instance as leaving, or as live again.
    Leaving(NodeSet, bool),
    /// Show the document without its last patch, as a platform restored from a backup would.
    Old,
    /// Drop everything between two halves.
    Partition,
    /// Publish a patch.
    Patch,
    /// Pause a process.
    Pause(Part, NodeSet),
    /// Set the faults of the platform, by name.
    Platform(String),
    /// Resume a paused process.
    Resume(Part, NodeSet),
    /// Publish two patches against one base.
    Rivals,
    /// Stop and start all daemons in turn.
    Roll,
    /// Silence the sockets over which two daemons have talked so far.
    Silence(NodeSet, NodeSet),
    /// Start processes and wait until they are ready.
    Start(Part, NodeSet),
    /// Stop a process gracefully and wait for its end.
    Stop(Part, NodeSet),
}

/// An action and the wait before it.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// What is done.
    pub action: Action,
    /// Wait since the end of the step before.
    pub wait: Duration,
}

/// Reads a script; waits vary by up to half with the seed.
///
/// # Errors
///
/// The step that can't be read.
///
/// ```
/// use hawthornwall_measure::faults::{Action, parse_script};
/// use hawthornwall_testkit::random::Random;
///
/// let steps = parse_script("500 partition; 3000 heal", &mut Random::new(1))?;
/// assert_eq!(steps[1].action, Action::Heal);
/// # Ok::<(), String>(())
/// ```
pub fn parse_script(script: &str, random: &mut Random) -> Result<Vec<Step>, String> {
    let steps = script.split(';').map(str::trim);
    steps
        .map(|text| parse_step(text, random).ok_or_else(|| text.to_owned()))
        .collect()
}

fn parse_step(text: &str, random: &mut Random) -> Option<Step> {
    let (wait, action) = text.split_once(' ')?;
    let wait: u64 = wait.parse().ok()?;
    let jitter = random.below(wait as usize + 1) as u64;
    Some(Step {
        action: parse_action(action)?,
        wait: Duration::from_millis(wait / 2 + jitter),
    })
}

fn parse_action(text: &str) -> Option<Action> {
    let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
    let process = || {
        let (part, set) = rest.split_once(' ')?;
        Some((parse_part(part)?, parse_set(set)?))
    };
    let with = |make: fn(Part, NodeSet) -> Action| process().map(|(part, set)| make(part, set));
    match verb {
        "behave" => {
            let (set, json) = rest.split_once(' ')?;
            let changes = serde_json::from_str(json).ok()?;
            Some(Action::Behave(parse_set(set)?, changes))
        }
        "cold" => Some(Action::Cold(parse_set(rest)?)),
        "heal" => Some(Action::Heal),
        "isolate" => Some(Action::Isolate(parse_set(rest)?)),
        "kill" => with(Action::Kill),
        "leaving" => Some(Action::Leaving(parse_set(rest)?, true)),
        "live" => Some(Action::Leaving(parse_set(rest)?, false)),
        "old" => Some(Action::Old),
        "partition" => Some(Action::Partition),
        "patch" => Some(Action::Patch),
        "pause" => with(Action::Pause),
        "platform" => Some(Action::Platform(rest.to_owned())),
        "resume" => with(Action::Resume),
        "rivals" => Some(Action::Rivals),
        "roll" => Some(Action::Roll),
        "silence" => {
            let (a, b) = rest.split_once(' ')?;
            Some(Action::Silence(parse_set(a)?, parse_set(b)?))
        }
        "start" => with(Action::Start),
        "stop" => with(Action::Stop),
        _ => None,
    }
}

fn parse_part(text: &str) -> Option<Part> {
    match text {
        "daemon" => Some(Part::Daemon),
        "target" => Some(Part::Target),
        _ => None,
    }
}

fn parse_set(text: &str) -> Option<NodeSet> {
    match text {
        "A" => Some(NodeSet::One(0)),
        "B" => Some(NodeSet::One(1)),
        "half" => Some(NodeSet::Half),
        _ => None,
    }
}
