//! Span properties of a picked target.

use std::borrow::Cow;

use hawthornwall_core::calls::PickKind;
use hawthornwall_core::routing::Choice;

use super::counters::pick_name;

type Property = (Cow<'static, str>, Cow<'static, str>);

/// The target, the kind of pick, and the estimate that the choice was based on.
pub(super) fn choice_properties(kind: PickKind, choice: &Choice) -> [Property; 5] {
    let age = choice.estimate.age;
    let age = age.map_or(Cow::Borrowed("none"), |age| {
        age.as_micros().to_string().into()
    });
    [
        ("pick".into(), pick_name(kind).into()),
        ("target".into(), choice.target.to_string().into()),
        (
            "cost_us".into(),
            choice.estimate.cost.as_micros().to_string().into(),
        ),
        ("report_age_us".into(), age),
        (
            "alternatives".into(),
            choice.alternatives.to_string().into(),
        ),
    ]
}
