//! Positions of keys and values in the text of a settings file, which the JSON5 library doesn't
//! report.
//!
//! Keys are found only in text that the JSON5 library has accepted, so the scanner doesn't check
//! syntax.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

/// Position of a character in a text. Lines and columns are counted from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// Number of the line.
    pub line: usize,
    /// Number of the character in its line.
    pub column: usize,
}

impl Position {
    /// Position of the byte at `offset`, or of the end of a shorter text.
    pub(crate) fn of(text: &str, offset: usize) -> Self {
        let before = &text[..offset.min(text.len())];
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// Positions at which a key and its value start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyPosition {
    pub(crate) key: Position,
    pub(crate) value: Position,
}

/// Positions of all keys and list members in a file.
#[derive(Debug, Default)]
pub(crate) struct KeyPositions {
    /// Positions by path, such as `peer.seeds[0]`. The path of the root is empty.
    pub(crate) entries: BTreeMap<String, KeyPosition>,
    /// Path and position of each key that has already occurred in the same object.
    pub(crate) repeated: Vec<(String, Position)>,
}

/// Appends a key to the path of its parent. A key that contains a dot is quoted, to distinguish it
/// from a nested key.
pub(crate) fn join_path(parent: &str, key: &str) -> String {
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

/// Position at which braces and brackets are nested deeper than `limit`; `None` if they aren't.
///
/// The text need not be valid: this check runs before the parser, which recurses without a limit.
pub(crate) fn find_excess_depth(text: &str, limit: usize) -> Option<Position> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    loop {
        scanner.skip_whitespace();
        match scanner.peek()? {
            '{' | '[' => depth += 1,
            '}' | ']' => depth = depth.saturating_sub(1),
            '"' | '\'' => {
                scanner.skip_string();
                continue;
            }
            _ => {}
        }
        if depth > limit {
            return Some(Position::of(text, scanner.at));
        }
        scanner.skip_char();
    }
}

/// Positions of all keys in a text that the JSON5 library has accepted.
pub(crate) fn find_keys(text: &str) -> KeyPositions {
    let mut scanner = Scanner::new(text);
    scanner.skip_whitespace();
    let start = Position::of(text, scanner.at);
    let entry = KeyPosition {
        key: start,
        value: start,
    };
    scanner.positions.entries.insert(String::new(), entry);
    scanner.scan_value("");
    scanner.positions
}

struct Scanner<'a> {
    at: usize,
    positions: KeyPositions,
    text: &'a str,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            at: 0,
            positions: KeyPositions::default(),
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

    fn skip_whitespace(&mut self) {
        loop {
            let rest = self.rest();
            let visible = |c: char| !c.is_whitespace() && c != '\u{feff}';
            let skipped = if rest.starts_with("//") {
                rest.find('\n').unwrap_or(rest.len())
            } else if rest.starts_with("/*") {
                rest.find("*/").map_or(rest.len(), |end| end + 2)
            } else {
                rest.find(visible).unwrap_or(rest.len())
            };
            if skipped == 0 {
                return;
            }
            self.skip(skipped);
        }
    }

    fn scan_value(&mut self, path: &str) {
        match self.peek() {
            Some('{') => self.scan_object(path),
            Some('[') => self.scan_array(path),
            Some('"' | '\'') => self.skip_string(),
            Some(_) | None => self.skip_token(),
        }
    }

    fn scan_object(&mut self, path: &str) {
        self.skip(1);
        while self.next_member('}') {
            let start = self.at;
            match self.peek() {
                Some('"' | '\'') => self.skip_string(),
                Some(_) | None => self.skip_token(),
            }
            let key = self.text[start..self.at].to_owned();
            let key = json5::from_str::<String>(&key).unwrap_or(key);
            let path = join_path(path, &key);
            self.skip_whitespace();
            self.skip(1);
            self.skip_whitespace();
            let entry = KeyPosition {
                key: Position::of(self.text, start),
                value: Position::of(self.text, self.at),
            };
            if self.positions.entries.insert(path.clone(), entry).is_some() {
                self.positions.repeated.push((path.clone(), entry.key));
            }
            self.scan_value(&path);
        }
    }

    fn scan_array(&mut self, path: &str) {
        self.skip(1);
        let mut index = 0;
        while self.next_member(']') {
            let path = format!("{path}[{index}]");
            let start = Position::of(self.text, self.at);
            let entry = KeyPosition {
                key: start,
                value: start,
            };
            self.positions.entries.insert(path.clone(), entry);
            self.scan_value(&path);
            index += 1;
        }
    }

    /// Moves to the next member of an object or array; false at its end, which is skipped.
    fn next_member(&mut self, end: char) -> bool {
        self.skip_whitespace();
        if self.peek() == Some(',') {
            self.skip(1);
            self.skip_whitespace();
        }
        match self.peek() {
            Some(c) if c == end => {
                self.skip(1);
                false
            }
            found => found.is_some(),
        }
    }

    fn skip_string(&mut self) {
        let quote = self.peek();
        let mut escaped = false;
        let end = self.rest().char_indices().skip(1).find(|(_, c)| {
            let closes = !escaped && Some(*c) == quote;
            escaped = !escaped && *c == '\\';
            closes
        });
        self.at = end.map_or(self.text.len(), |(at, c)| self.at + at + c.len_utf8());
    }

    fn skip_token(&mut self) {
        let ends = |c: char| c.is_whitespace() || ",:]}/".contains(c);
        let length = self.rest().find(ends).unwrap_or(self.rest().len());
        self.skip(length.max(1));
    }
}
