//! Checks of a settings file against the table.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::fault::{Fault, FaultKind, SettingsFaults};
use crate::model::Settings;
use crate::place::{Place, Places, join, scan, too_deep};
use crate::table::{Kind, Preset, SECTIONS, SETTINGS, Setting, Unit};
use crate::value::{collide, value_fault};

/// Deepest nesting of a file; settings have a depth of 3. The parser recurses without a limit, so that
/// a deeper file could overflow the stack.
const DEPTH_LIMIT: usize = 16;
/// Endings of keys that name a unit other than the accepted one.
const OTHER_UNITS: [&str; 8] = ["s", "sec", "secs", "seconds", "us", "min", "kb", "mb"];

impl Settings {
    /// Parses JSON with comments and checks it as a whole.
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
    /// Every fault of the file. A fault of syntax is reported alone.
    ///
    /// # Panics
    ///
    /// If the table describes a value that the typed settings don't accept.
    pub fn parse(text: &str) -> Result<Self, SettingsFaults> {
        if let Some(place) = too_deep(text, DEPTH_LIMIT) {
            let found = format!("more than {DEPTH_LIMIT} nested braces and brackets");
            return Err(syntax_fault(place, found));
        }
        let root: Value = json5::from_str(text).map_err(|e| {
            // The library counts lines and columns from 0.
            let place = e.position().map_or(Place::of(text, 0), |p| Place {
                line: p.line + 1,
                column: p.column + 1,
            });
            let found = e.code().map_or_else(|| e.to_string(), |c| c.to_string());
            syntax_fault(place, found)
        })?;
        let mut check = Check {
            faults: Vec::new(),
            places: scan(text),
        };
        check.repeated();
        check.object("", &root);
        let values: Vec<_> = SETTINGS.iter().map(|s| check.setting(s, &root)).collect();
        check.listeners(&values);
        check.source(&values);
        check.secret(&values);
        if check.faults.is_empty() {
            Ok(typed(values).expect("the table describes the typed settings"))
        } else {
            check.faults.sort_by_key(|fault| fault.place);
            Err(SettingsFaults(check.faults))
        }
    }
}

/// The defaults of one section.
pub(crate) fn section_defaults<T: DeserializeOwned>(section: &str) -> T {
    let in_section = SETTINGS.iter().filter(|s| s.split().0 == section);
    let object: Map<_, _> = in_section
        .map(|s| (s.split().1.to_owned(), s.preset.value()))
        .collect();
    serde_json::from_value(object.into()).expect("the table holds valid defaults")
}

fn typed(values: Vec<Value>) -> serde_json::Result<Settings> {
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

fn syntax_fault(place: Place, found: String) -> SettingsFaults {
    SettingsFaults(vec![Fault {
        accepted: "JSON with comments".to_owned(),
        found,
        key: String::new(),
        kind: FaultKind::Syntax,
        place,
    }])
}

fn is_section(path: &str) -> bool {
    SECTIONS.iter().any(|(name, _)| *name == path)
}

fn look_up<'a>(setting: &Setting, root: &'a Value) -> Option<&'a Value> {
    let (section, key) = setting.split();
    match section {
        "" => root.get(key),
        _ => root.get(section).and_then(|object| object.get(key)),
    }
}

/// The value of a setting among those in force, `None` for one without a value.
fn value_of<'a>(name: &str, values: &'a [Value]) -> Option<&'a Value> {
    let index = SETTINGS.iter().position(|s| s.name == name)?;
    values.get(index).filter(|value| !value.is_null())
}

/// A value for messages, shortened.
fn show(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(60) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}

struct Check {
    faults: Vec<Fault>,
    places: Places,
}

impl Check {
    /// Place of the value at `path`, or of the nearest object around it.
    fn place(&self, path: &str) -> Place {
        let entry = self.places.entries.get(path);
        let parent = path
            .rsplit_once(['.', '['])
            .map_or("", |(parent, _)| parent);
        entry.map_or_else(|| self.place(parent), |entry| entry.value)
    }

    fn fault(&mut self, key: &str, kind: FaultKind, found: String, accepted: String) {
        let place = self.place(key);
        self.fault_at(place, key, kind, (found, accepted));
    }

    fn fault_at(&mut self, place: Place, key: &str, kind: FaultKind, texts: (String, String)) {
        let (found, accepted) = texts;
        let key = key.to_owned();
        self.faults.push(Fault {
            accepted,
            found,
            key,
            kind,
            place,
        });
    }

    fn repeated(&mut self) {
        for (path, place) in std::mem::take(&mut self.places.repeated) {
            let texts = ("the key again".to_owned(), "each key once".to_owned());
            self.fault_at(place, &path, FaultKind::Repeated, texts);
        }
    }

    /// Reports unknown keys and sections that are no objects.
    fn object(&mut self, path: &str, value: &Value) {
        let Some(object) = value.as_object() else {
            let accepted = "an object in braces".to_owned();
            return self.fault(path, FaultKind::Type, show(value), accepted);
        };
        for (key, value) in object {
            let path = join(path, key);
            if is_section(&path) {
                self.object(&path, value);
            } else if !SETTINGS.iter().any(|s| s.name == path) {
                self.unknown(&path);
            }
        }
    }

    fn unknown(&mut self, path: &str) {
        let entry = self.places.entries.get(path);
        let place = entry.map_or_else(|| self.place(path), |entry| entry.key);
        let found = path.to_owned();
        if let Some(setting) = meant_unit(path) {
            let accepted = format!("`{}`, {}", setting.name, setting.kind);
            self.fault_at(place, path, FaultKind::Unit, (found, accepted));
            return;
        }
        let section = path.rsplit_once('.').map_or("", |(section, _)| section);
        let section = if is_section(section) { section } else { "" };
        let known = SETTINGS.iter().map(Setting::split);
        let keys = known.filter(|(s, _)| *s == section).map(|(_, key)| key);
        let sections = SECTIONS.iter().map(|(name, _)| *name);
        let sections = sections.filter(|name| section.is_empty() && !name.is_empty());
        let accepted = keys.chain(sections).collect::<Vec<_>>().join(", ");
        self.fault_at(place, path, FaultKind::Unknown, (found, accepted));
    }

    /// The value in force for a setting; null after a fault.
    fn setting(&mut self, setting: &Setting, root: &Value) -> Value {
        let found = look_up(setting, root);
        match (found, setting.preset) {
            (None | Some(Value::Null), Preset::Required) => {
                let (accepted, found) = (setting.kind.to_string(), "nothing".to_owned());
                self.fault(setting.name, FaultKind::Missing, found, accepted);
                Value::Null
            }
            (None, preset) => preset.value(),
            (Some(Value::Null), Preset::Absent) => Value::Null,
            (Some(value), _) => {
                self.value(setting.name, setting.kind, value);
                value.clone()
            }
        }
    }

    fn value(&mut self, path: &str, kind: Kind, value: &Value) {
        if let Kind::Addresses = kind {
            let Some(list) = value.as_array() else {
                return self.fault(path, FaultKind::Type, show(value), kind.to_string());
            };
            for (index, value) in list.iter().enumerate() {
                self.value(&format!("{path}[{index}]"), Kind::Address, value);
            }
        } else if let Some(fault) = value_fault(kind, value) {
            // A secret is never shown.
            let found = match (kind == Kind::Secret, value.as_str()) {
                (true, Some(text)) => format!("a text of {} characters", text.chars().count()),
                (true, None) => "another type".to_owned(),
                (false, _) => show(value),
            };
            self.fault(path, fault, found, kind.to_string());
        }
    }

    /// Checks that QUIC has a secret, and that nobody takes plain TCP for protected by one.
    fn secret(&mut self, values: &[Value]) {
        let tcp = value_of("peer.link", values) == Some(&Value::from("tcp"));
        let named = value_of("peer.secret", values).is_some();
        match (tcp, named) {
            (false, false) => {
                let accepted = format!("{}, or `peer.link` as \"tcp\"", Kind::Secret);
                let found = "nothing".to_owned();
                self.fault("peer.secret", FaultKind::Missing, found, accepted);
            }
            (true, true) => {
                let accepted = "none, as `peer.link` is \"tcp\", which nothing protects".to_owned();
                let found = "a secret".to_owned();
                self.fault("peer.secret", FaultKind::Secret, found, accepted);
            }
            (true, false) | (false, true) => {}
        }
    }

    /// Checks that either the store or both services are named.
    fn source(&mut self, values: &[Value]) {
        let named = |name: &str| value_of(name, values).is_some();
        let address = || format!("{}, or `platform.store` in place of both", Kind::Address);
        for name in ["platform.config", "platform.instances"] {
            match (named("platform.store"), named(name)) {
                (true, true) => {
                    let accepted = "either this or `platform.store`".to_owned();
                    self.fault(name, FaultKind::Repeated, "both".to_owned(), accepted);
                }
                (false, false) => {
                    self.fault(name, FaultKind::Missing, "nothing".to_owned(), address());
                }
                (true, false) | (false, true) => {}
            }
        }
    }

    /// Checks addresses that must differ, and one that peers must be able to reach.
    fn listeners(&mut self, values: &[Value]) {
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
                if let Some((found, _)) = pair.filter(|(a, b)| collide(*a, *b)) {
                    let accepted = format!("an address that differs from `{other}`");
                    self.fault(name, FaultKind::Listen, found.to_string(), accepted);
                }
            }
        }
        let listen = address("peer.listen").filter(|a| a.ip().is_unspecified());
        if let (Some(listen), None) = (listen, address("peer.advertise")) {
            let found = format!("nothing, while `peer.listen` is {listen}");
            let accepted = "the address under which peers reach this daemon".to_owned();
            self.fault("peer.advertise", FaultKind::Missing, found, accepted);
        }
    }
}

/// The setting of which `path` is the name with another unit or without its unit.
fn meant_unit(path: &str) -> Option<&'static Setting> {
    SETTINGS.iter().find(|setting| {
        let stem = setting.name.strip_suffix("_ms").unwrap_or(setting.name);
        let unit = matches!(
            setting.kind,
            Kind::Number {
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
