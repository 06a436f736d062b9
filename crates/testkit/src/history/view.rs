//! Time-ordered view of a history, indexed by request and party.

use std::collections::BTreeMap;
use std::fmt;

use super::{Change, Event, Record};

/// Inconsistency between the records of a history, for example because records were lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HistoryFault {
    /// Two requests have the same number.
    DuplicateRequest(u64),
    /// There are records of a request that no caller sent.
    UnsentRequest(u64),
}

impl fmt::Display for HistoryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateRequest(request) => write!(f, "request {request} was sent twice"),
            Self::UnsentRequest(request) => write!(f, "request {request} was never sent"),
        }
    }
}

/// All records of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestView<'a> {
    /// Daemon that the caller selected.
    pub daemon: Option<&'a str>,
    /// Records of targets that finished or aborted the request.
    pub ends: Vec<&'a Record>,
    /// Records of responses that the caller received.
    pub received: Vec<&'a Record>,
    /// Record of the caller that sent the request; `None` in an inconsistent history.
    pub sent: Option<&'a Record>,
    /// Records of targets that started the request.
    pub starts: Vec<&'a Record>,
}

/// A history in time order. The timestamps of different parties are comparable because all of them
/// use the clock of the same machine.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Inconsistencies between the records.
    pub faults: Vec<HistoryFault>,
    /// Records of presence changes and of targets that began to leave, in time order.
    pub presence: Vec<&'a Record>,
    /// All records in time order. Records with equal times keep their original order.
    pub records: Vec<&'a Record>,
    /// Requests by request number.
    pub requests: BTreeMap<u64, RequestView<'a>>,
}

impl<'a> View<'a> {
    /// Sorts records by time, groups them by request and detects inconsistencies.
    pub fn new(records: &'a [Record]) -> Self {
        let mut sorted: Vec<_> = records.iter().collect();
        sorted.sort_by_key(|r| r.at);
        let mut view = Self {
            faults: Vec::new(),
            presence: Vec::new(),
            records: sorted,
            requests: BTreeMap::new(),
        };
        for record in view.records.clone() {
            view.add(record);
        }
        let never_sent = view.requests.iter().filter(|(_, r)| r.sent.is_none());
        let faults = never_sent.map(|(number, _)| HistoryFault::UnsentRequest(*number));
        view.faults.extend(faults);
        view
    }

    fn request(&mut self, number: u64) -> &mut RequestView<'a> {
        self.requests.entry(number).or_default()
    }

    fn add(&mut self, record: &'a Record) {
        match &record.event {
            Event::Received { request, .. } => self.request(*request).received.push(record),
            Event::Routed { daemon, request } => self.request(*request).daemon = Some(daemon),
            Event::RunEnded { request, .. } => self.request(*request).ends.push(record),
            Event::RunStarted { request } => self.request(*request).starts.push(record),
            Event::Sent { request, .. } => {
                if self.request(*request).sent.replace(record).is_some() {
                    self.faults.push(HistoryFault::DuplicateRequest(*request));
                }
            }
            Event::Leaving | Event::Presence { .. } => self.presence.push(record),
            Event::InForce { .. } | Event::Probed { .. } | Event::Published { .. } => {}
        }
    }

    /// Time of the last record in microseconds since the Unix epoch; 0 if there are no records.
    pub fn end(&self) -> u64 {
        self.records.last().map_or(0, |r| r.at)
    }

    /// Presence changes of a party, in time order.
    pub fn changes(&self, party: &str) -> impl Iterator<Item = (&'a Record, Change)> {
        let of_party = self.presence.iter().filter(move |r| r.party == party);
        of_party.filter_map(|r| r.event.change().map(|change| (*r, change)))
    }

    /// Maps each daemon to its local target, for daemons with a recorded presence change.
    pub fn local_targets(&self) -> BTreeMap<&'a str, &'a str> {
        let mut beside = BTreeMap::new();
        for record in &self.presence {
            if let Event::Presence {
                beside: Some(target),
                ..
            } = &record.event
            {
                beside.insert(record.party.as_str(), target.as_str());
            }
        }
        beside
    }
}
