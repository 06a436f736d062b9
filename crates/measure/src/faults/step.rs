//! Steps of a row. Each is written as `DELAY_MS VERB ARGUMENTS`; `;` separates the steps.

use std::time::Duration;

use serde_json::Value;

use hawthornwall_testkit::random::Random;

/// One of the two processes of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessKind {
    /// The load balancer daemon.
    Daemon,
    /// The target that the daemon serves.
    Target,
}

/// Instances to which a row refers; the seed determines which they are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeSet {
    /// A random half of all instances.
    Half,
    /// The instance at this index in the random order: 0 for `A`, 1 for `B`.
    One(usize),
}

/// Action of one step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Change the behaviour of a target.
    SetBehaviour(NodeSet, Value),
    /// Make targets slow for two seconds after their next start.
    ColdStart(NodeSet),
    /// End all network faults.
    Heal,
    /// Drop all peer traffic to and from one daemon.
    Isolate(NodeSet),
    /// Kill processes without a graceful stop.
    Kill(ProcessKind, NodeSet),
    /// List an instance as leaving if the flag is set, otherwise as live.
    Leaving(NodeSet, bool),
    /// Publish the document without its last patch, as a platform restored from a backup does.
    PublishPrevious,
    /// Drop all peer traffic between two halves of the instances.
    Partition,
    /// Publish one configuration patch.
    Patch,
    /// Pause a process.
    Pause(ProcessKind, NodeSet),
    /// Replace the platform's fault by the named one: `down`, `stale`, `lag`, or none for any other
    /// name.
    Platform(String),
    /// Resume a paused process.
    Resume(ProcessKind, NodeSet),
    /// Publish two patches with the same base version.
    ConflictingPatches,
    /// Stop and start all daemons, one at a time.
    RollingRestart,
    /// Drop all traffic on the sockets that two daemons have used so far to reach each other.
    Silence(NodeSet, NodeSet),
    /// Start processes and return when they are ready.
    Start(ProcessKind, NodeSet),
    /// Stop a process gracefully and return when it has ended.
    Stop(ProcessKind, NodeSet),
}

/// An action and the delay before it.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Executed after the delay.
    pub action: Action,
    /// Delay from the end of the previous step.
    pub delay: Duration,
}

/// Parses a script. Each delay is drawn uniformly from 50 % to 150 % of the written value.
///
/// # Errors
///
/// Returns the text of the first step that can't be parsed.
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
    let (delay, action) = text.split_once(' ')?;
    let delay: u64 = delay.parse().ok()?;
    let jitter = random.below(delay as usize + 1) as u64;
    Some(Step {
        action: parse_action(action)?,
        delay: Duration::from_millis(delay / 2 + jitter),
    })
}

fn parse_action(text: &str) -> Option<Action> {
    let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
    let process = || {
        let (kind, set) = rest.split_once(' ')?;
        Some((parse_kind(kind)?, parse_set(set)?))
    };
    let process_action = |variant: fn(ProcessKind, NodeSet) -> Action| {
        process().map(|(kind, set)| variant(kind, set))
    };
    match verb {
        "behave" => {
            let (set, json) = rest.split_once(' ')?;
            let changes = serde_json::from_str(json).ok()?;
            Some(Action::SetBehaviour(parse_set(set)?, changes))
        }
        "cold" => Some(Action::ColdStart(parse_set(rest)?)),
        "heal" => Some(Action::Heal),
        "isolate" => Some(Action::Isolate(parse_set(rest)?)),
        "kill" => process_action(Action::Kill),
        "leaving" => Some(Action::Leaving(parse_set(rest)?, true)),
        "live" => Some(Action::Leaving(parse_set(rest)?, false)),
        "old" => Some(Action::PublishPrevious),
        "partition" => Some(Action::Partition),
        "patch" => Some(Action::Patch),
        "pause" => process_action(Action::Pause),
        "platform" => Some(Action::Platform(rest.to_owned())),
        "resume" => process_action(Action::Resume),
        "rivals" => Some(Action::ConflictingPatches),
        "roll" => Some(Action::RollingRestart),
        "silence" => {
            let (a, b) = rest.split_once(' ')?;
            Some(Action::Silence(parse_set(a)?, parse_set(b)?))
        }
        "start" => process_action(Action::Start),
        "stop" => process_action(Action::Stop),
        _ => None,
    }
}

fn parse_kind(text: &str) -> Option<ProcessKind> {
    match text {
        "daemon" => Some(ProcessKind::Daemon),
        "target" => Some(ProcessKind::Target),
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
