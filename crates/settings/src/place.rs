//! Places of keys and values in the text of a file.
//!
//! The scanner only runs on text that the JSON5 library has accepted, so it doesn't check syntax.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

/// A position in a text, both numbers counted from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Place {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

impl Place {
    /// The place of the byte at `offset`.
    pub(crate) fn of(text: &str, offset: usize) -> Self {
        let before = &text[..offset.min(text.len())];
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// Where a key and its value start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) key: Place,
    pub(crate) value: Place,
}

/// The places of all keys by their dotted path; the root's path is empty.
#[derive(Debug, Default)]
pub(crate) struct Places {
    pub(crate) entries: BTreeMap<String, Entry>,
    /// Keys that stand twice in one object.
    pub(crate) repeated: Vec<(String, Place)>,
}

/// The dotted path of a key. A key with a dot is quoted, so it can't be taken for a nested key.
pub(crate) fn join(parent: &str, key: &str) -> String {
    let key = if key.contains('.') {
        format!("{key:?}")
    } else {
        key.to_owned()
    };
    match parent {
        "" => key,
        _ => format!("{parent}.{key}"),
    }
}

/// The place where braces and brackets nest deeper than `limit`.
///
/// The text need not be valid: this runs before the parser, which recurses without a limit.
pub(crate) fn too_deep(text: &str, limit: usize) -> Option<Place> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    loop {
        scanner.skip_blank();
        match scanner.peek()? {
            '{' | '[' => depth += 1,
            '}' | ']' => depth = depth.saturating_sub(1),
            '"' | '\'' => {
                scanner.string();
                continue;
            }
            _ => {}
        }
        if depth > limit {
            return Some(Place::of(text, scanner.at));
        }
        scanner.skip_char();
    }
}

/// Finds all keys of a text that the JSON5 library has accepted.
pub(crate) fn scan(text: &str) -> Places {
    let mut scanner = Scanner::new(text);
    scanner.skip_blank();
    let start = Place::of(text, scanner.at);
    let entry = Entry {
        key: start,
        value: start,
    };
    scanner.places.entries.insert(String::new(), entry);
    scanner.value("");
    scanner.places
}

struct Scanner<'a> {
    at: usize,
    places: Places,
    text: &'a str,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            at: 0,
            places: Places::default(),
            text,
        }
    }

    fn rest(&self) -> &str {
        &self.text[self.at..]
    }

    fn peek(&self) -> Option<char> {
        self.rest().chars().next()
    }

    fn skip(&mut self, count: usize) {
        self.at = (self.at + count).min(self.text.len());
    }

    fn skip_char(&mut self) {
        self.skip(self.peek().map_or(0, char::len_utf8));
    }

    fn skip_blank(&mut self) {
        loop {
            let rest = self.rest();
            let blank = |c: char| !c.is_whitespace() && c != '\u{feff}';
            let skipped = if rest.starts_with("//") {
                rest.find('\n').unwrap_or(rest.len())
            } else if rest.starts_with("/*") {
                rest.find("*/").map_or(rest.len(), |end| end + 2)
            } else {
                rest.find(blank).unwrap_or(rest.len())
            };
            if skipped == 0 {
                return;
            }
            self.skip(skipped);
        }
    }

    fn value(&mut self, path: &str) {
        match self.peek() {
            Some('{') => self.object(path),
            Some('[') => self.array(path),
            Some('"' | '\'') => self.string(),
            Some(_) | None => self.word(),
        }
    }

    fn object(&mut self, path: &str) {
        self.skip(1);
        while self.step('}') {
            let start = self.at;
            match self.peek() {
                Some('"' | '\'') => self.string(),
                Some(_) | None => self.word(),
            }
            let key = self.text[start..self.at].to_owned();
            let key = json5::from_str::<String>(&key).unwrap_or(key);
            let path = join(path, &key);
            self.skip_blank();
            self.skip(1);
            self.skip_blank();
            let entry = Entry {
                key: Place::of(self.text, start),
                value: Place::of(self.text, self.at),
            };
            if self.places.entries.insert(path.clone(), entry).is_some() {
                self.places.repeated.push((path.clone(), entry.key));
            }
            self.value(&path);
        }
    }

    fn array(&mut self, path: &str) {
        self.skip(1);
        let mut index = 0;
        while self.step(']') {
            let path = format!("{path}[{index}]");
            let start = Place::of(self.text, self.at);
            let entry = Entry {
                key: start,
                value: start,
            };
            self.places.entries.insert(path.clone(), entry);
            self.value(&path);
            index += 1;
        }
    }

    /// Moves to the next member; false at the end of the object or array.
    fn step(&mut self, end: char) -> bool {
        self.skip_blank();
        if self.peek() == Some(',') {
            self.skip(1);
            self.skip_blank();
        }
        match self.peek() {
            Some(c) if c == end => {
                self.skip(1);
                false
            }
            found => found.is_some(),
        }
    }

    fn string(&mut self) {
        let quote = self.peek();
        let mut escaped = false;
        let end = self.rest().char_indices().skip(1).find(|(_, c)| {
            let closes = !escaped && Some(*c) == quote;
            escaped = !escaped && *c == '\\';
            closes
        });
        self.at = end.map_or(self.text.len(), |(at, c)| self.at + at + c.len_utf8());
    }

    fn word(&mut self) {
        let ends = |c: char| c.is_whitespace() || ",:]}/".contains(c);
        let length = self.rest().find(ends).unwrap_or(self.rest().len());
        self.skip(length.max(1));
    }
}
