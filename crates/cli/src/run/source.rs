//! Reads documents, patches and other files, and fetches configurations from daemons.

use std::io::Read;

use error_stack::{Report, ResultExt};
use hawthornwall_core::config::{Configuration, Document, Patch};
use hawthornwall_wire::document::{DOCUMENT_LIMIT, parse_document, parse_patch};

use super::daemon;
use crate::command::{Input, Source};
use crate::exit::Failure;

/// Number of bytes after which reading a file stops. It is above the document limit, so that a
/// document that is too long is reported as such, and above the 8 MiB of changes that daemons read
/// from the platform's store at once.
const FILE_LIMIT: u64 = 16 * DOCUMENT_LIMIT as u64;

/// Reads a file or standard input, up to [`FILE_LIMIT`].
pub(super) fn read_bytes(input: &Input) -> Result<Vec<u8>, Report<Failure>> {
    let mut bytes = Vec::new();
    let read = if input.is_stdin() {
        std::io::stdin().take(FILE_LIMIT).read_to_end(&mut bytes)
    } else {
        std::fs::File::open(&input.0).and_then(|file| file.take(FILE_LIMIT).read_to_end(&mut bytes))
    };
    read.change_context_lazy(|| Failure::File(input.to_string()))?;
    Ok(bytes)
}

/// Reads a configuration document from a file.
pub(super) fn read_document(input: &Input) -> Result<Document, Report<Failure>> {
    parse_document(&read_bytes(input)?).change_context_lazy(|| Failure::Content(input.to_string()))
}

/// Reads a patch from a file.
pub(super) fn read_patch(input: &Input) -> Result<Patch, Report<Failure>> {
    parse_patch(&read_bytes(input)?).change_context_lazy(|| Failure::Content(input.to_string()))
}

/// Reads a document from a file. The configuration in force at a daemon becomes a document without
/// patches.
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
        Source::File(input) => read_document(input),
    }
}
