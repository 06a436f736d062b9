//! Parsing of a settings file and checks against the table.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::fault::{Fault, FaultKind, SettingsFaults};
use crate::model::Settings;
use crate::position::{KeyPositions, Position, find_excess_depth, find_keys, join_path};
use crate::table::{DefaultValue, SECTIONS, SETTINGS, Setting, Unit, ValueKind};
use crate::value::{addresses_conflict, value_fault};

/// Maximum nesting of a file; valid settings have a depth of 3. The parser recurses without a limit,
/// so that deep nesting could overflow the stack.
const DEPTH_LIMIT: usize = 16;
/// Suffixes of keys that state a unit other than the accepted one.
const OTHER_UNITS: [&str; 9] = ["s", "ms", "sec", "secs", "seconds", "us", "min", "kb", "mb"];

impl Settings {
    /// Parses a settings file, which is JSON with comments, and checks all of it.
    ///
    /// ```
    /// use hawthornwall_settings::{FaultKind, Settings};
    ///
    /// let faults = Settings::parse("{ name: 'calendar-1', caller: { idle_ms: 5 } }").unwrap_err();
    /// assert_eq!(faults.0.iter().filter(|f| f.kind == FaultKind::Range).count(), 1);
    /// ```
    ///
    /// # Errors
    ///
    /// Returns all faults in the file. A syntax error is returned alone.
    ///
    /// # Panics
    ///
    /// Panics if [`SETTINGS`] accepts a value that the typed settings don't accept.
    pub fn parse(text: &str) -> Result<Self, SettingsFaults> {
        if let Some(position) = find_excess_depth(text, DEPTH_LIMIT) {
            let found = format!("more than {DEPTH_LIMIT} nested braces and brackets");
            return Err(syntax_fault(position, found));
        }
        let root: Value = json5::from_str(text).map_err(|e| {
            // The library counts lines and columns from 0, positions are counted from 1.
            let position = e.position().map_or(Position::of(text, 0), |p| Position {
                line: p.line + 1,
                column: p.column + 1,
            });
            let error = e.code().map_or_else(|| e.to_string(), |c| c.to_string());
            syntax_fault(position, format!("invalid text ({error})"))
        })?;
        let mut checker = Checker {
            faults: Vec::new(),
            positions: find_keys(text),
        };
        checker.report_duplicates();
        checker.check_object("", &root);
        let values: Vec<_> = SETTINGS
            .iter()
            .map(|s| checker.check_setting(s, &root))
            .collect();
        checker.check_addresses(&values);
        checker.check_source(&values);
        checker.check_secret(&values);
        if checker.faults.is_empty() {
            Ok(to_settings(values)
                .expect("the typed settings accept all values that the table accepts"))
        } else {
            checker.faults.sort_by_key(|fault| fault.position);
            Err(SettingsFaults(checker.faults))
        }
    }
}

/// Default values of a section whose settings all have one.
pub(crate) fn section_defaults<T: DeserializeOwned>(section: &str) -> T {
    let in_section = SETTINGS.iter().filter(|s| s.split().0 == section);
    let object: Map<_, _> = in_section
        .map(|s| (s.split().1.to_owned(), s.default.value()))
        .collect();
    serde_json::from_value(object.into()).expect("the defaults in the table are valid")
}

fn to_settings(values: Vec<Value>) -> serde_json::Result<Settings> {
    let mut root = Map::new();
    for (setting, value) in SETTINGS.iter().zip(values) {
        let (section, key) = setting.split();
        if section.is_empty() {
            root.insert(key.to_owned(), value);
        } else {
            let object = root.entry(section).or_insert_with(|| Map::new().into());
            object[key] = value;
        }
    }
    serde_json::from_value(root.into())
}

fn syntax_fault(position: Position, found: String) -> SettingsFaults {
    SettingsFaults(vec![Fault {
        accepted: "JSON with comments".to_owned(),
        found,
        key: String::new(),
        kind: FaultKind::Syntax,
        position,
    }])
}

fn is_section(path: &str) -> bool {
    SECTIONS.iter().any(|(name, _)| *name == path)
}

fn find_value<'a>(setting: &Setting, root: &'a Value) -> Option<&'a Value> {
    let (section, key) = setting.split();
    match section {
        "" => root.get(key),
        _ => root.get(section).and_then(|object| object.get(key)),
    }
}

/// Looks up a setting in `values`, which are in the order of the table; `None` if it has no value.
fn value_of<'a>(name: &str, values: &'a [Value]) -> Option<&'a Value> {
    let index = SETTINGS.iter().position(|s| s.name == name)?;
    values.get(index).filter(|value| !value.is_null())
}

/// Prints at most 60 characters of a value, for messages.
fn abbreviate(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(60) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}

struct Checker {
    faults: Vec<Fault>,
    positions: KeyPositions,
}

impl Checker {
    /// Position of the value at `path`; if the file has none, of the innermost object or list around
    /// it.
    fn position(&self, path: &str) -> Position {
        let entry = self.positions.entries.get(path);
        let parent = path
            .rsplit_once(['.', '['])
            .map_or("", |(parent, _)| parent);
        entry.map_or_else(|| self.position(parent), |entry| entry.value)
    }

    fn report(&mut self, key: &str, kind: FaultKind, found: String, accepted: String) {
        let position = self.position(key);
        self.report_at(position, key, kind, (found, accepted));
    }

    fn report_at(
        &mut self,
        position: Position,
        key: &str,
        kind: FaultKind,
        texts: (String, String),
    ) {
        let (found, accepted) = texts;
        let key = key.to_owned();
        self.faults.push(Fault {
            accepted,
            found,
            key,
            kind,
            position,
        });
    }

    fn report_duplicates(&mut self) {
        for (path, position) in std::mem::take(&mut self.positions.repeated) {
            let texts = ("a second value".to_owned(), "one value".to_owned());
            self.report_at(position, &path, FaultKind::Repeated, texts);
        }
    }

    /// Reports unknown keys, and sections that are not objects.
    fn check_object(&mut self, path: &str, value: &Value) {
        let Some(object) = value.as_object() else {
            let accepted = "an object in braces".to_owned();
            return self.report(path, FaultKind::Type, abbreviate(value), accepted);
        };
        for (key, value) in object {
            let path = join_path(path, key);
            if is_section(&path) {
                self.check_object(&path, value);
            } else if !SETTINGS.iter().any(|s| s.name == path) {
                self.report_unknown(&path);
            }
        }
    }

    fn report_unknown(&mut self, path: &str) {
        let entry = self.positions.entries.get(path);
        let position = entry.map_or_else(|| self.position(path), |entry| entry.key);
        let found = path.to_owned();
        if let Some(setting) = setting_in_other_unit(path) {
            let accepted = format!("`{}`, {}", setting.name, setting.kind);
            self.report_at(position, path, FaultKind::Unit, (found, accepted));
            return;
        }
        let section = path.rsplit_once('.').map_or("", |(section, _)| section);
        let section = if is_section(section) { section } else { "" };
        let known = SETTINGS.iter().map(Setting::split);
        let keys = known.filter(|(s, _)| *s == section).map(|(_, key)| key);
        let sections = SECTIONS.iter().map(|(name, _)| *name);
        let sections = sections.filter(|name| section.is_empty() && !name.is_empty());
        let accepted = keys.chain(sections).collect::<Vec<_>>().join(", ");
        self.report_at(position, path, FaultKind::Unknown, (found, accepted));
    }

    /// Returns the value of a setting, or its default if it is absent. A value with a fault is
    /// reported; a required one that is missing becomes null.
    fn check_setting(&mut self, setting: &Setting, root: &Value) -> Value {
        let found = find_value(setting, root);
        match (found, setting.default) {
            (None | Some(Value::Null), DefaultValue::Required) => {
                let (accepted, found) = (setting.kind.to_string(), "no value".to_owned());
                self.report(setting.name, FaultKind::Missing, found, accepted);
                Value::Null
            }
            (None, default) => default.value(),
            (Some(Value::Null), DefaultValue::Absent) => Value::Null,
            (
                Some(value),
                DefaultValue::Absent
                | DefaultValue::Empty
                | DefaultValue::Number(_)
                | DefaultValue::Required
                | DefaultValue::Text(_),
            ) => {
                self.check_value(setting.name, setting.kind, value);
                value.clone()
            }
        }
    }

    fn check_value(&mut self, path: &str, kind: ValueKind, value: &Value) {
        if let ValueKind::Addresses = kind {
            let Some(list) = value.as_array() else {
                return self.report(path, FaultKind::Type, abbreviate(value), kind.to_string());
            };
            for (index, value) in list.iter().enumerate() {
                self.check_value(&format!("{path}[{index}]"), ValueKind::Address, value);
            }
        } else if let Some(fault) = value_fault(kind, value) {
            // Messages never include the text of a secret.
            let found = match (kind == ValueKind::Secret, value.as_str()) {
                (true, Some(text)) => format!("a text of {} characters", text.chars().count()),
                (true, None) => "a value of another type".to_owned(),
                (false, _) => abbreviate(value),
            };
            self.report(path, fault, found, kind.to_string());
        }
    }

    /// Checks that a secret is present for QUIC and absent for plain TCP, which it would not protect.
    fn check_secret(&mut self, values: &[Value]) {
        let tcp = value_of("peer.link", values) == Some(&Value::from("tcp"));
        let present = value_of("peer.secret", values).is_some();
        match (tcp, present) {
            (false, false) => {
                let accepted = format!("{}, or `peer.link` as \"tcp\"", ValueKind::Secret);
                let found = "no value".to_owned();
                self.report("peer.secret", FaultKind::Missing, found, accepted);
            }
            (true, true) => {
                let accepted =
                    "no value, since `peer.link` is \"tcp\", which uses no secret".to_owned();
                let found = "a secret".to_owned();
                self.report("peer.secret", FaultKind::Secret, found, accepted);
            }
            (true, false) | (false, true) => {}
        }
    }

    /// Checks that either the store is present or both services are.
    fn check_source(&mut self, values: &[Value]) {
        let present = |name: &str| value_of(name, values).is_some();
        let address = || {
            format!(
                "{}, or `platform.store` instead of both",
                ValueKind::Address
            )
        };
        for name in ["platform.config", "platform.instances"] {
            match (present("platform.store"), present(name)) {
                (true, true) => {
                    let accepted = "one of the two".to_owned();
                    self.report(
                        name,
                        FaultKind::Repeated,
                        "this and `platform.store`".to_owned(),
                        accepted,
                    );
                }
                (false, false) => {
                    self.report(name, FaultKind::Missing, "no value".to_owned(), address());
                }
                (true, false) | (false, true) => {}
            }
        }
    }

    /// Checks that the TCP addresses differ, and that peers can reach this daemon: a listener on all
    /// addresses doesn't determine the address to advertise.
    fn check_addresses(&mut self, values: &[Value]) {
        let address =
            |name: &str| -> Option<SocketAddr> { value_of(name, values)?.as_str()?.parse().ok() };
        let mut tcp = vec![
            "caller.listen",
            "admin.listen",
            "admin.ready",
            "target.address",
        ];
        if value_of("peer.link", values) == Some(&Value::from("tcp")) {
            tcp.push("peer.listen");
        }
        for (index, name) in tcp.iter().enumerate() {
            for other in &tcp[..index] {
                let pair = address(name).zip(address(other));
                if let Some((found, _)) = pair.filter(|(a, b)| addresses_conflict(*a, *b)) {
                    let accepted = format!("an address that differs from `{other}`");
                    self.report(name, FaultKind::Listen, found.to_string(), accepted);
                }
            }
        }
        let listen = address("peer.listen").filter(|a| a.ip().is_unspecified());
        if let (Some(listen), None) = (listen, address("peer.advertise")) {
            let found = format!("no value, while `peer.listen` is {listen}");
            let accepted = "the address at which peers reach this daemon".to_owned();
            self.report("peer.advertise", FaultKind::Missing, found, accepted);
        }
    }
}

/// Finds the setting whose name `path` would be with the accepted unit, where `path` has another unit
/// or none.
fn setting_in_other_unit(path: &str) -> Option<&'static Setting> {
    SETTINGS.iter().find(|setting| {
        let stem = setting.name.strip_suffix("_ms");
        let stem = stem.or_else(|| setting.name.strip_suffix("_s"));
        let stem = stem.unwrap_or(setting.name);
        let unit = matches!(
            setting.kind,
            ValueKind::Seconds { .. }
                | ValueKind::Number {
                    unit: Unit::Bytes | Unit::Milliseconds,
                    ..
                }
        );
        let rest = path.strip_prefix(stem);
        let other = |rest: &str| {
            rest.strip_prefix('_')
                .is_some_and(|u| OTHER_UNITS.contains(&u))
        };
        unit && rest.is_some_and(|rest| rest.is_empty() || other(rest))
    })
}
