//! What a published document costs its readers, by the number of patches since its checkpoint.

use std::fmt::Write;
use std::time::Instant;

use hawthornwall_core::config::ActiveConfig;
use hawthornwall_wire::document::parse_document;
use serde::Serialize;

use super::plan::{TARGETS, fleet_plan, rules_patch};

/// Readings of one document, of which the fastest counts.
const READINGS: usize = 5;

/// Costs of one document.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DocumentFigures {
    /// Length in bytes.
    pub bytes: usize,
    /// Time to parse it and to fold its patches, in milliseconds.
    pub fold_ms: f64,
    /// Patches since the checkpoint.
    pub patches: usize,
}

/// Measures documents of the full size with these numbers of patches.
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
        let times = (0..READINGS).map(|_| read(&text));
        figures.push(DocumentFigures {
            bytes: text.len(),
            fold_ms: times.fold(f64::INFINITY, f64::min),
            patches: *count,
        });
    }
    figures
}

fn read(text: &[u8]) -> f64 {
    let begun = Instant::now();
    if let Ok(document) = parse_document(text) {
        let _ = ActiveConfig::default().offer_document(&document);
    }
    begun.elapsed().as_secs_f64() * 1_000.0
}

/// A table with one row for each document.
pub fn render_documents(figures: &[DocumentFigures]) -> String {
    let mut text = String::from("patches | bytes | parse and fold, ms\n");
    for f in figures {
        let _ = writeln!(text, "{:7} | {:7} | {:.2}", f.patches, f.bytes, f.fold_ms);
    }
    text
}
