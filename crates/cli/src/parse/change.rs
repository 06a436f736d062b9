//! Parses the changes of `patch new`.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use hawthornwall_core::config::{Change, Rules, RulesChange};

use super::UsageFault;
use super::raw::{ChangeOption, Token};
use crate::help::Topic;

/// Separates two changes on the command line.
const AND: &str = "and";
const VERBS: [&str; 6] = [
    "create-service",
    "create-target",
    "remove-service",
    "remove-target",
    "update-service",
    "update-target",
];

/// Parses the changes, which are separated by `and`.
pub(super) fn changes(tokens: Vec<Token>) -> Result<Vec<Change>, UsageFault> {
    let mut groups = vec![Vec::new()];
    for token in tokens {
        match token {
            Token::Positional(positional) if positional == AND => groups.push(Vec::new()),
            token => groups.last_mut().expect("there is a group").push(token),
        }
    }
    groups.into_iter().map(change).collect()
}

fn fault(text: impl Into<String>) -> UsageFault {
    UsageFault::new(Topic::PatchNew, text)
}

fn change(tokens: Vec<Token>) -> Result<Change, UsageFault> {
    let mut positionals = Vec::new();
    let mut options = Options::default();
    for token in tokens {
        match token {
            Token::Option(option, value) => options.unread.push((option, value)),
            Token::Positional(positional) => positionals.push(positional),
        }
    }
    let mut positionals = positionals.into_iter();
    let accepted = || format!("accepted: {}", VERBS.join(", "));
    let verb = positionals.next();
    let verb = verb.ok_or_else(|| fault(format!("a change is missing, {}", accepted())))?;
    if !VERBS.contains(&verb.as_str()) {
        return Err(fault(format!("unknown change `{verb}`, {}", accepted())));
    }
    let name = positionals.next();
    let name = name.ok_or_else(|| fault(format!("a name is missing after {verb}")))?;
    if let Some(positional) = positionals.next() {
        let text = format!("unexpected argument `{positional}`; changes are separated by `{AND}`");
        return Err(fault(text));
    }
    options.verb.clone_from(&verb);
    let change = options.build(&verb, name)?;
    match options.unread.first() {
        Some((option, _)) => Err(fault(format!(
            "{verb} doesn't accept --{}, or it is given more than once",
            option.name()
        ))),
        None => Ok(change),
    }
}

/// Options of one change. Each is removed when it is read; any left at the end are errors.
#[derive(Default)]
struct Options {
    unread: Vec<(ChangeOption, String)>,
    verb: String,
}

impl Options {
    fn build(&mut self, verb: &str, name: String) -> Result<Change, UsageFault> {
        Ok(match verb {
            "create-service" => {
                let mut rules = Rules::default();
                rules.change(&self.rules()?);
                let hosts = self.hosts().unwrap_or_default();
                Change::CreateService { name, hosts, rules }
            }
            "create-target" => Change::CreateTarget {
                name,
                service: self.required(ChangeOption::Service)?,
                domain: self.required(ChangeOption::Domain)?,
                slots: self.required(ChangeOption::Slots)?,
            },
            "remove-service" => Change::RemoveService { name },
            "remove-target" => Change::RemoveTarget { name },
            "update-service" => {
                let (hosts, rules) = (self.hosts(), self.rules()?);
                if hosts.is_none() && rules == RulesChange::default() {
                    return Err(fault(format!("update-service {name} sets no new value")));
                }
                Change::UpdateService { name, hosts, rules }
            }
            _ => {
                let domain = self.take(ChangeOption::Domain)?;
                let slots = self.take(ChangeOption::Slots)?;
                if (&domain, slots) == (&None, None) {
                    return Err(fault(format!("update-target {name} sets no new value")));
                }
                Change::UpdateTarget {
                    name,
                    domain,
                    slots,
                }
            }
        })
    }

    fn rules(&mut self) -> Result<RulesChange, UsageFault> {
        let hedge = match self.text(ChangeOption::Hedge).as_deref() {
            None => None,
            Some("on") => Some(true),
            Some("off") => Some(false),
            Some(other) => return Err(fault(format!("--hedge: found {other}, accepted: on, off"))),
        };
        Ok(RulesChange {
            deadline: self
                .take(ChangeOption::Deadline)?
                .map(Duration::from_millis),
            hedge,
            queue_wait: self
                .take(ChangeOption::QueueWait)?
                .map(Duration::from_millis),
            retry_percent: self.take(ChangeOption::RetryPercent)?,
        })
    }

    /// Returns the host names, `None` if the option is absent. An empty list removes all names.
    fn hosts(&mut self) -> Option<BTreeSet<String>> {
        let list = self.text(ChangeOption::Hosts)?;
        let hosts = list.split(',').map(|host| host.trim().to_owned());
        Some(hosts.filter(|host| !host.is_empty()).collect())
    }

    fn text(&mut self, option: ChangeOption) -> Option<String> {
        let at = self.unread.iter().position(|(found, _)| *found == option)?;
        Some(self.unread.remove(at).1)
    }

    fn take<T: FromStr>(&mut self, option: ChangeOption) -> Result<Option<T>, UsageFault> {
        let Some(text) = self.text(option) else {
            return Ok(None);
        };
        let wrong = |_| {
            let name = option.name();
            fault(format!("--{name}: found {text}, accepted: a whole number"))
        };
        text.parse().map(Some).map_err(wrong)
    }

    fn required<T: FromStr>(&mut self, option: ChangeOption) -> Result<T, UsageFault> {
        let missing = fault(format!("{} requires --{}", self.verb, option.name()));
        self.take(option)?.ok_or(missing)
    }
}
