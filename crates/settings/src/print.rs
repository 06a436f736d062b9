//! The default file with comments.

use std::fmt::Write;

use crate::table::{Preset, SECTIONS, SETTINGS, Setting};

/// Every setting with its description, accepted values and default.
///
/// Required settings are null; the file parses once they have values.
///
/// ```
/// let text = hawthornwall_settings::commented_defaults();
/// assert!(text.contains(r#""idle_ms": 60000"#));
/// ```
pub fn commented_defaults() -> String {
    let mut out = "{\n".to_owned();
    for (index, (section, doc)) in SECTIONS.iter().enumerate() {
        let settings = SETTINGS.iter().filter(|s| s.split().0 == *section);
        if section.is_empty() {
            settings.for_each(|s| print_setting(&mut out, s, "  "));
            continue;
        }
        let _ = write!(out, "\n  // {doc}\n  \"{section}\": {{\n");
        settings.for_each(|s| print_setting(&mut out, s, "    "));
        trim_comma(&mut out);
        out.push_str(if index + 1 < SECTIONS.len() {
            "  },\n"
        } else {
            "  }\n"
        });
    }
    out.push_str("}\n");
    out
}

fn print_setting(out: &mut String, setting: &Setting, indent: &str) {
    let note = match setting.preset {
        Preset::Absent => "Optional: ",
        Preset::Required => "Required: ",
        Preset::Empty | Preset::Number(_) | Preset::Text(_) => "Accepted: ",
    };
    let (key, value) = (setting.split().1, setting.preset.value());
    let _ = writeln!(out, "{indent}// {}", setting.doc);
    let _ = writeln!(out, "{indent}// {note}{}.", setting.kind);
    let _ = writeln!(out, "{indent}\"{key}\": {value},");
}

/// Removes the comma after the last key of a section, which strict JSON doesn't accept.
fn trim_comma(out: &mut String) {
    if out.ends_with(",\n") {
        out.truncate(out.len() - 2);
        out.push('\n');
    }
}
