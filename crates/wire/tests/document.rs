//! Parsing and printing of documents, patches and instance lists.

use std::collections::BTreeSet;

use hawthornwall_core::config::{Change, Configuration, Document, Patch, Rules};
use hawthornwall_core::ids::Version;
use hawthornwall_wire::document::{
    DOCUMENT_LIMIT, DocumentError, parse_document, parse_patch, print_document, print_patch,
};
use hawthornwall_wire::instances::parse_instances;
use insta::assert_snapshot;
use rstest::rstest;

fn patch(base: u64) -> Patch {
    Patch {
        author: "trainee".to_owned(),
        base: Version(base),
        changes: vec![
            Change::CreateService {
                name: format!("calendar{base}"),
                hosts: BTreeSet::from([format!("h{base}")]),
                rules: Rules::default(),
            },
            Change::UpdateTarget {
                name: "calendar-1".to_owned(),
                domain: None,
                slots: Some(6),
            },
        ],
        note: String::new(),
        time: String::new(),
    }
}

/// Guards against a printed document that parses to a different one, for example because the digest of
/// its checkpoint is rounded: many JSON tools keep fewer digits of a number than a digest has.
#[test]
fn printed_text_parses_back() {
    let checkpoint = Configuration {
        digest: u64::MAX - 1,
        ..Document {
            patches: vec![patch(0)],
            ..Document::default()
        }
        .replay()
        .configuration
    };
    let document = Document {
        checkpoint,
        patches: vec![patch(1)],
    };
    let text = print_document(&document);
    assert_eq!(parse_document(text.as_bytes()), Ok(document));
    assert_snapshot!("document", text);
    assert_eq!(parse_patch(print_patch(&patch(3)).as_bytes()), Ok(patch(3)));
}

const COMMENTED: &str = r#"{
  // The booking season starts.
  base: 4, author: 'trainee', /* no note */
  changes: [
    { change: "update_service", name: "calendar", rules: { deadline_ms: 1500, }, },
  ],
}"#;

/// Guards against rejecting the comments and trailing commas that operators write.
#[test]
fn comments_are_accepted() {
    let patch = parse_patch(COMMENTED.as_bytes()).unwrap();
    assert_snapshot!("commented", print_patch(&patch));
}

/// Guards against error messages without the line and column of the fault.
#[rstest]
#[case::cut("{\n  \"base\": 1,\n  \"changes\": [")]
#[case::missing_comma("{\n  \"base\": 1\n  \"author\": \"a\"}")]
#[case::unknown_field("{\n  \"base\": 1, \"author\": \"a\", \"changes\": [],\n  \"notes\": 1}")]
#[case::missing_field("{\"base\": 1}")]
#[case::wrong_type("{\n  \"base\": \"one\"}")]
#[case::unknown_change("{\"base\": 1, \"author\": \"a\", \"changes\": [{\"change\": \"rename\"}]}")]
#[case::commented_wrong_type("{ // one\n  base: 'one' }")]
#[case::no_json("base = 1")]
#[case::empty("")]
#[case::negative_base("{\"base\": -1}")]
fn faults_are_located(#[case] text: &str) {
    let error = parse_patch(text.as_bytes()).unwrap_err();
    let thread = std::thread::current();
    let row = thread.name().and_then(|name| name.split_once("case_"));
    let row = row.map(|(_, row)| row.to_owned()).unwrap_or_default();
    assert_snapshot!(format!("fault_{row}"), error.to_string());
}

/// Guards against accepting a document that the configuration service can't store, or one that isn't
/// UTF-8.
#[test]
fn size_and_encoding_are_checked() {
    let length = DOCUMENT_LIMIT + 1;
    let too_long = vec![b' '; length];
    assert_eq!(
        parse_document(&too_long),
        Err(DocumentError::TooLong { length })
    );
    assert_eq!(
        parse_document(b"{\"patches\": [\xff]}"),
        Err(DocumentError::Utf8)
    );
}

/// Guards against parsing a damaged list as an empty one, which would mean an empty fleet.
#[rstest]
#[case::no_instances("{\"revision\": 1}")]
#[case::bad_address(
    "{\"revision\": 1, \"instances\": [{\"domain\": \"a\", \"peer\": \"x\", \"state\": \"live\",
      \"target\": \"t\"}]}"
)]
#[case::bad_state(
    "{\"revision\": 1, \"instances\": [{\"domain\": \"a\", \"peer\": \"10.0.0.1:1\",
      \"state\": \"dead\", \"target\": \"t\"}]}"
)]
fn damaged_lists_are_refused(#[case] text: &str) {
    let error = parse_instances(text.as_bytes()).unwrap_err();
    assert!(
        matches!(error, DocumentError::Syntax { line: 1.., .. }),
        "{error}"
    );
}
