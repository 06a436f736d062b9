//! Documents, patches and texts from files and daemons.

use std::io::Read;

use error_stack::{Report, ResultExt};
use hawthornwall_core::config::{Configuration, Document, Patch};
use hawthornwall_wire::document::{DOCUMENT_LIMIT, parse_document, parse_patch};

use super::daemon;
use crate::command::{Input, Source};
use crate::exit::Failure;

/// Longest file that is read. A file somewhat beyond the longest document is still reported as such.
const FILE_LIMIT: u64 = 2 * DOCUMENT_LIMIT as u64;

/// The bytes of a file or of standard input.
pub(super) fn bytes(input: &Input) -> Result<Vec<u8>, Report<Failure>> {
    let mut bytes = Vec::new();
    let read = if input.is_stdin() {
        std::io::stdin().take(FILE_LIMIT).read_to_end(&mut bytes)
    } else {
        std::fs::File::open(&input.0).and_then(|file| file.take(FILE_LIMIT).read_to_end(&mut bytes))
    };
    read.change_context_lazy(|| Failure::File(input.to_string()))?;
    Ok(bytes)
}

/// A document from a file.
pub(super) fn document(input: &Input) -> Result<Document, Report<Failure>> {
    parse_document(&bytes(input)?).change_context_lazy(|| Failure::Content(input.to_string()))
}

/// A patch from a file.
pub(super) fn patch(input: &Input) -> Result<Patch, Report<Failure>> {
    parse_patch(&bytes(input)?).change_context_lazy(|| Failure::Content(input.to_string()))
}

/// A document, or the configuration in force at a daemon as one without patches.
pub(super) fn load(source: &Source) -> Result<Document, Report<Failure>> {
    match source {
        Source::Daemon(address) => {
            let text = daemon::config(*address)?;
            let checkpoint: Configuration = serde_json::from_str(&text)
                .change_context_lazy(|| Failure::Response(address.to_string()))?;
            Ok(Document {
                checkpoint,
                patches: Vec::new(),
            })
        }
        Source::File(input) => document(input),
    }
}
