//! Parsing of scenario lines of the form `at 10ms verb word... name=value... flag`.

use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

use hawthornwall_core::prelude::*;
use serde::de::DeserializeOwned;

pub struct Line<'a> {
    pub now: Time,
    pub verb: &'a str,
    words: Vec<&'a str>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Self {
        let mut words: Vec<_> = text.split_whitespace().collect();
        let mut now = Time::ZERO;
        if words[0] == "at" {
            now = Time::ZERO + duration(words[1]);
            words.drain(..2);
        }
        let verb = words.remove(0);
        Self { now, verb, words }
    }

    /// Parses the word at position `index` after the verb.
    pub fn word<T: FromStr<Err: Debug>>(&self, index: usize) -> T {
        let word = self
            .words
            .get(index)
            .unwrap_or_else(|| panic!("`{}` has too few words", self.verb));
        word.parse().unwrap()
    }

    /// Parses the number after the letters of a word such as `work3`.
    pub fn number(&self, index: usize) -> u64 {
        let word: String = self.word(index);
        word.trim_start_matches(char::is_alphabetic)
            .parse()
            .unwrap()
    }

    pub fn flag(&self, name: &str) -> bool {
        self.words.contains(&name)
    }

    pub fn text(&self, name: &str) -> Option<&'a str> {
        let value = |w: &&'a str| w.strip_prefix(name)?.strip_prefix('=');
        self.words.iter().find_map(value)
    }

    pub fn value<T: FromStr<Err: Debug>>(&self, name: &str, default: T) -> T {
        self.text(name).map_or(default, |v| v.parse().unwrap())
    }

    pub fn span(&self, name: &str, default: Duration) -> Duration {
        self.text(name).map_or(default, duration)
    }
}

/// Parses a duration with the unit `us`, `ms` or `s`.
pub fn duration(text: &str) -> Duration {
    let digits = text.trim_end_matches(char::is_alphabetic);
    let number = digits.parse().unwrap();
    match &text[digits.len()..] {
        "us" => Duration::from_micros(number),
        "ms" => Duration::from_millis(number),
        "s" => Duration::from_secs(number),
        unit => panic!("unknown unit of time `{unit}`"),
    }
}

/// Returns the variant without fields whose serde name is `name`.
pub fn variant<T: DeserializeOwned>(name: &str) -> T {
    serde_json::from_value(name.into()).unwrap()
}

/// Parses the result of an attempt, such as `answered`, `failed`, `lost:Closed` or `refused:Full`.
pub fn attempt_result(text: &str) -> AttemptResult {
    match text.split_once(':') {
        Some(("lost", loss)) => AttemptResult::Lost(variant(loss)),
        Some(("refused", refusal)) => AttemptResult::Refused(variant(refusal)),
        None if text == "failed" => AttemptResult::Failed,
        Some(_) | None => {
            assert_eq!(text, "answered");
            AttemptResult::Answered
        }
    }
}
