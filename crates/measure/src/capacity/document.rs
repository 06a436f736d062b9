//! Cost of reading a published document, by the number of patches since its checkpoint.

use std::fmt::Write;
use std::time::Instant;

use hawthornwall_core::config::ActiveConfig;
use hawthornwall_wire::document::parse_document;
use serde::Serialize;

use super::plan::{TARGETS, fleet_plan, rules_patch};

/// Number of times that each document is read; the shortest time is reported.
const REPETITIONS: usize = 5;

/// Size and read time of one document.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DocumentFigures {
    /// Length in bytes.
    pub bytes: usize,
    /// Time to parse it and replay its patches, in milliseconds.
    #[serde(rename = "fold_ms")]
    pub replay_ms: f64,
    /// Number of patches since the checkpoint.
    pub patches: usize,
}

/// Measures documents with all targets and the given numbers of patches, which must be in ascending
/// order.
pub fn measure_documents(counts: &[usize]) -> Vec<DocumentFigures> {
    let mut document = fleet_plan(TARGETS).document();
    document.checkpoint = document.replay().configuration;
    document.patches.clear();
    let mut base = document.checkpoint.version;
    let mut figures = Vec::new();
    for count in counts {
        while document.patches.len() < *count {
            document
                .patches
                .push(rules_patch("service-00", base, "operator"));
            base.0 += 1;
        }
        let text = serde_json::to_vec(&document).unwrap_or_default();
        let times = (0..REPETITIONS).map(|_| time_read(&text));
        figures.push(DocumentFigures {
            bytes: text.len(),
            replay_ms: times.fold(f64::INFINITY, f64::min),
            patches: *count,
        });
    }
    figures
}

/// Parses the document, replays its patches and returns the time taken in milliseconds.
fn time_read(text: &[u8]) -> f64 {
    let started = Instant::now();
    if let Ok(document) = parse_document(text) {
        let _ = ActiveConfig::default().offer_document(&document);
    }
    started.elapsed().as_secs_f64() * 1_000.0
}

/// Renders a table with one row for each document.
pub fn render_documents(figures: &[DocumentFigures]) -> String {
    let mut text = String::from("patches | bytes | parse and fold, ms\n");
    for f in figures {
        let _ = writeln!(text, "{:7} | {:7} | {:.2}", f.patches, f.bytes, f.replay_ms);
    }
    text
}
