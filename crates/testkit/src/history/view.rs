//! Records sorted by time, with look-ups by request and party.

use std::collections::BTreeMap;
use std::fmt;

use super::{Change, Event, Record};

/// What makes a history unfit for a verdict: the records contradict how parties write them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HistoryFault {
    /// Two requests have one number.
    NumberUsedTwice(u64),
    /// A request was received or started that no caller sent.
    NeverSent(u64),
}

impl fmt::Display for HistoryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NumberUsedTwice(request) => write!(f, "request {request} was sent twice"),
            Self::NeverSent(request) => write!(f, "request {request} was never sent"),
        }
    }
}

/// All records of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestView<'a> {
    /// Daemon that the caller chose.
    pub daemon: Option<&'a str>,
    /// Ends at targets.
    pub ends: Vec<&'a Record>,
    /// Responses to the caller.
    pub received: Vec<&'a Record>,
    /// The sending, absent in a faulty history.
    pub sent: Option<&'a Record>,
    /// Starts at targets.
    pub starts: Vec<&'a Record>,
}

/// A history in the order of its times.
///
/// Clocks of parties on one machine agree, so their records can be compared.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Faults of the history itself.
    pub faults: Vec<HistoryFault>,
    /// Changes of presence and the beginnings of leaving, in order.
    pub presence: Vec<&'a Record>,
    /// Records in the order of their times; the order of records with equal times is kept.
    pub records: Vec<&'a Record>,
    /// Requests by number.
    pub requests: BTreeMap<u64, RequestView<'a>>,
}

impl<'a> View<'a> {
    /// Sorts and groups records.
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
        let faults = never_sent.map(|(number, _)| HistoryFault::NeverSent(*number));
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
                    self.faults.push(HistoryFault::NumberUsedTwice(*request));
                }
            }
            Event::Leaving | Event::Presence { .. } => self.presence.push(record),
            Event::InForce { .. } | Event::Probed { .. } | Event::Published { .. } => {}
        }
    }

    /// Time of the last record.
    pub fn end(&self) -> u64 {
        self.records.last().map_or(0, |r| r.at)
    }

    /// Changes of presence of one party, in order.
    pub fn changes(&self, party: &str) -> impl Iterator<Item = (&'a Record, Change)> {
        let of_party = self.presence.iter().filter(move |r| r.party == party);
        of_party.filter_map(|r| r.event.change().map(|change| (*r, change)))
    }

    /// The target beside each daemon, as far as recorded.
    pub fn targets_beside(&self) -> BTreeMap<&'a str, &'a str> {
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
