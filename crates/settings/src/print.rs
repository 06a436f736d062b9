//! The printed default file.

use std::fmt::Write;

use crate::table::{DefaultValue, SECTIONS, SETTINGS, Setting};

/// Prints a settings file in which every setting has its default, with its description and accepted
/// values as comments.
///
/// Settings without a default are null. The file is accepted once all required ones have values.
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
    let note = match setting.default {
        DefaultValue::Absent => "Optional: ",
        DefaultValue::Required => "Required: ",
        DefaultValue::Empty | DefaultValue::Number(_) | DefaultValue::Text(_) => "Accepted: ",
    };
    let (key, value) = (setting.split().1, setting.default.value());
    let _ = writeln!(out, "{indent}// {}", setting.doc);
    let _ = writeln!(out, "{indent}// {note}{}.", setting.kind);
    let _ = writeln!(out, "{indent}\"{key}\": {value},");
}

/// Removes the comma after the last key of a section, since strict JSON doesn't accept it.
fn trim_comma(out: &mut String) {
    if out.ends_with(",\n") {
        out.truncate(out.len() - 2);
        out.push('\n');
    }
}
