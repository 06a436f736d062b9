//! Configuration documents and patches as JSON. Comments and trailing commas are accepted.
//!
//! Invariant: printed text parses back to the same value.

use std::fmt;

use hawthornwall_core::config::{Document, Patch};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of a document or list in bytes. The configuration service stores no larger
/// values.
pub const DOCUMENT_LIMIT: usize = 1 << 20;

/// Reason why a text is not a valid document, patch or list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DocumentError {
    /// The text is not valid JSON, or its content is not of the expected form.
    Syntax {
        /// Column of the error, counted from 1; 0 if unknown.
        column: usize,
        /// Line of the error, counted from 1; 0 if unknown.
        line: usize,
        /// Message of the parser, without the position.
        message: String,
    },
    /// The text is longer than [`DOCUMENT_LIMIT`].
    TooLong {
        /// Length of the text in bytes.
        length: usize,
    },
    /// The bytes are not UTF-8.
    Utf8,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax {
                line: 0, message, ..
            } => f.write_str(message),
            Self::Syntax {
                column,
                line,
                message,
            } => write!(f, "line {line}, column {column}: {message}"),
            Self::TooLong { length } => {
                write!(
                    f,
                    "the text is {length} bytes long; must be at most {DOCUMENT_LIMIT}"
                )
            }
            Self::Utf8 => f.write_str("the text is not valid UTF-8"),
        }
    }
}

impl std::error::Error for DocumentError {}

/// Parses a configuration document as published.
///
/// ```
/// use hawthornwall_wire::document::parse_document;
///
/// let document = parse_document(b"{ /* nothing yet */ patches: [], }")?;
/// assert!(document.patches.is_empty());
/// # Ok::<(), hawthornwall_wire::document::DocumentError>(())
/// ```
///
/// # Errors
///
/// Returns an error if the text is too long, is not JSON, or is not a document.
pub fn parse_document(bytes: &[u8]) -> Result<Document, DocumentError> {
    parse(bytes)
}

/// Parses one patch as written by an operator.
///
/// # Errors
///
/// Returns an error if the text is too long, is not JSON, or is not a patch.
pub fn parse_patch(bytes: &[u8]) -> Result<Patch, DocumentError> {
    parse(bytes)
}

/// Prints a document as indented JSON with a final newline.
///
/// # Panics
///
/// Never: the keys of all maps in a document can be JSON keys.
pub fn print_document(document: &Document) -> String {
    print(document)
}

/// Prints a patch as indented JSON with a final newline.
///
/// # Panics
///
/// Never: a patch contains no maps.
pub fn print_patch(patch: &Patch) -> String {
    print(patch)
}

/// Parses the text as plain JSON first, since programs publish plain JSON and `serde_json` is
/// faster than the parser for commented text.
pub(crate) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DocumentError> {
    if bytes.len() > DOCUMENT_LIMIT {
        let length = bytes.len();
        return Err(DocumentError::TooLong { length });
    }
    let text = std::str::from_utf8(bytes).map_err(|_| DocumentError::Utf8)?;
    match serde_json::from_str(text) {
        Ok(value) => Ok(value),
        Err(e) if e.is_data() => Err(DocumentError::Syntax {
            column: e.column(),
            line: e.line(),
            message: without_position(&e.to_string()),
        }),
        Err(_) => parse_commented(text),
    }
}

fn parse_commented<T: DeserializeOwned>(text: &str) -> Result<T, DocumentError> {
    // Parsed to a JSON value first: json5 passes integer map keys only as strings.
    let value: serde_json::Value = json5::from_str(text).map_err(|e| {
        let position = e.position();
        DocumentError::Syntax {
            column: position.map_or(0, |p| p.column + 1),
            line: position.map_or(0, |p| p.line + 1),
            message: json5_message(&e),
        }
    })?;
    serde_json::from_value(value).map_err(|e| DocumentError::Syntax {
        column: 0,
        line: 0,
        message: e.to_string(),
    })
}

fn json5_message(error: &json5::Error) -> String {
    error.code().map_or_else(
        || without_position(&error.to_string()),
        |code| code.to_string(),
    )
}

fn without_position(message: &str) -> String {
    let end = message.rfind(" at line ").unwrap_or(message.len());
    message[..end].to_owned()
}

fn print<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value).expect("all map keys are integers or text");
    text + "\n"
}
