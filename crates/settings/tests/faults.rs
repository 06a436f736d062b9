//! Fault messages of settings files. Each case guards against a fault that is not reported before the
//! daemon starts.

use hawthornwall_settings::{Settings, commented_defaults};
use insta::assert_snapshot;
use rstest::rstest;

const VALID: &str = r#"{
  // The required settings only.
  name: "calendar-1", domain: "dk-1",
  caller: { listen: "127.0.0.1:8000" },
  target: { address: "127.0.0.1:8001" },
  peer: { listen: "127.0.0.1:8002", secret: "SECRET" },
  platform: { config: "127.0.0.1:8003", instances: "127.0.0.1:8004" },
  admin: { listen: "127.0.0.1:8005" },
}"#;

fn valid() -> String {
    VALID.replace("SECRET", &"0a".repeat(32))
}

fn faults(text: &str) -> String {
    Settings::parse(text)
        .expect_err("the file is faulty")
        .to_string()
}

#[rstest]
#[case::unknown_key("unknown_key", "caller: {", "caller: { idel_ms: 5,")]
#[case::unknown_section("unknown_section", "admin:", "admim: {}, admin:")]
#[case::dotted_key("dotted_key", "admin:", "\"caller.listen\": 1, admin:")]
#[case::unit_in_key("unit_in_key", "caller: {", "caller: { idle_s: 5,")]
#[case::key_without_unit("key_without_unit", "caller: {", "caller: { idle: 5000,")]
#[case::unit_in_value("unit_in_value", "caller: {", "caller: { idle_ms: '60s',")]
#[case::number_as_text("number_as_text", "caller: {", "caller: { idle_ms: '60',")]
#[case::fraction("fraction", "caller: {", "caller: { idle_ms: 100.5,")]
#[case::below_range("below_range", "caller: {", "caller: { idle_ms: 99,")]
#[case::above_range("above_range", "caller: {", "caller: { idle_ms: 3600001,")]
#[case::negative("negative", "caller: {", "caller: { idle_ms: -1,")]
#[case::not_a_number("not_a_number", "caller: {", "caller: { idle_ms: NaN,")]
#[case::seconds_range("seconds_range", "caller: {", "caller: { grace_s: -0.5,")]
#[case::seconds_as_text("seconds_as_text", "caller: {", "caller: { grace_s: '6s',")]
#[case::seconds_in_ms("seconds_in_ms", "caller: {", "caller: { grace_ms: 6000,")]
#[case::host_name("host_name", "127.0.0.1:8000", "localhost:8000")]
#[case::port_missing("port_missing", "127.0.0.1:8000", "127.0.0.1")]
#[case::seed("seed", "peer: {", "peer: { seeds: ['127.0.0.1:1', 'x'],")]
#[case::seeds_not_a_list("seeds_not_a_list", "peer: {", "peer: { seeds: '127.0.0.1:1',")]
#[case::short_secret("short_secret", "0a0a", "0a")]
#[case::secret_digits("secret_digits", "0a0a", "0g0a")]
#[case::no_secret("no_secret", ", secret: \"SECRET\"", "")]
#[case::tcp_and_secret("tcp_and_secret", "peer: {", "peer: { link: 'tcp',")]
#[case::tcp_same_listen(
    "tcp_same_listen",
    "peer: { listen: \"127.0.0.1:8002\", secret: \"SECRET\"",
    "peer: { link: 'tcp', listen: '127.0.0.1:8000'"
)]
#[case::same_listen("same_listen", "127.0.0.1:8005", "127.0.0.1:8000")]
#[case::any_listen("any_listen", "127.0.0.1:8005", "0.0.0.0:8000")]
#[case::own_target("own_target", "127.0.0.1:8001", "127.0.0.1:8000")]
#[case::no_advertise("no_advertise", "127.0.0.1:8002", "0.0.0.0:8002")]
#[case::store_and_services(
    "store_and_services",
    "platform: {",
    "platform: { store: '127.0.0.1:8006',"
)]
#[case::incomplete_source("incomplete_source", "config: \"127.0.0.1:8003\",", "")]
#[case::same_ready("same_ready", "admin: {", "admin: { ready: '127.0.0.1:8005',")]
#[case::upper_case_name("upper_case_name", "calendar-1", "Calendar 1")]
#[case::choice("choice", "admin:", "log: { level: 'verbose' }, admin:")]
#[case::path("path", "target: {", "target: { health: 'health',")]
#[case::section_not_an_object("section_not_an_object", "admin:", "log: 'info', admin:")]
#[case::repeated_key("repeated_key", "domain:", "name: \"calendar-2\", domain:")]
#[case::missing_key("missing_key", "domain: \"dk-1\",", "")]
#[case::null_required("null_required", "\"dk-1\"", "null")]
#[case::missing_section("missing_section", "platform:", "// platform:")]
#[case::syntax("syntax", "domain:", "domain")]
#[case::unicode_column("unicode_column", "name: \"calendar-1\",", "/* æøå */ name: 1,")]
fn one_fault(#[case] name: &str, #[case] from: &str, #[case] to: &str) {
    let secret = "0a".repeat(32);
    let text = valid().replacen(&from.replace("SECRET", &secret), to, 1);
    assert_snapshot!(name, faults(&text));
}

/// Guards against reporting only the first fault.
#[test]
fn all_faults_at_once() {
    let text = "{\n  name: 7,\n  caller: {\n    listen: 'nowhere',\n    idle_ms: 5,\n    speed: 1\n  },\n  peer: { secret: 'short', listen: '127.0.0.1:1' }\n}";
    assert_snapshot!(faults(text));
}

/// Guards against a stack overflow in the parser, and against counting brackets in strings.
#[rstest]
#[case::open("deep_open", "[".repeat(100_000))]
#[case::in_file("deep_in_file", format!("{{\n  name: '}}]\\'[', // [\n  æ: {}0{} }}", "[".repeat(16), "]".repeat(16)))]
#[case::in_text("deep_in_text", format!("{{ name: '{}' }}", "[".repeat(17)))]
fn deep_nesting(#[case] name: &str, #[case] text: String) {
    let faults = Settings::parse(&text).expect_err("the file is faulty").0;
    let first = faults
        .iter()
        .find(|f| f.kind != hawthornwall_settings::FaultKind::Missing);
    assert_snapshot!(
        name,
        first
            .expect("there is a fault other than missing keys")
            .to_string()
    );
}

/// Guards against a fault message that contains the fleet's secret.
#[test]
fn secret_is_not_printed() {
    let text = valid().replace("0a0a", "zz0a");
    assert!(!faults(&text).contains("zz0a"));
}

/// Guards against rejecting a valid file, and against wrong defaults.
#[test]
fn minimal_file() {
    let settings = Settings::parse(&valid()).expect("the file is valid");
    insta::assert_json_snapshot!(settings);
}

/// Guards against rejecting settings that another program has serialized.
#[test]
fn serialized_settings_parse() {
    let settings = Settings::parse(&valid()).expect("the file is valid");
    let text = serde_json::to_string(&settings).expect("settings are JSON");
    assert_eq!(Settings::parse(&text).expect("the text is valid"), settings);
}

/// Guards against rejecting the printed default file after its required values have been added.
#[test]
fn printed_defaults_parse() {
    let mut text = commented_defaults();
    assert_snapshot!(text);
    let secret = format!("\"{}\"", "0a".repeat(32));
    let ports: Vec<_> = (0..6)
        .map(|n| format!("\"127.0.0.1:{}\"", 8000 + n))
        .collect();
    let required = [
        ("name", "\"calendar-1\"".to_owned()),
        ("domain", "\"dk-1\"".to_owned()),
        ("listen", ports[0].clone()),
        ("address", ports[1].clone()),
        ("listen", ports[2].clone()),
        ("secret", secret),
        ("config", ports[3].clone()),
        ("instances", ports[4].clone()),
        ("listen", ports[5].clone()),
    ];
    for (key, value) in required {
        text = text.replacen(
            &format!("\"{key}\": null"),
            &format!("\"{key}\": {value}"),
            1,
        );
    }
    assert_eq!(Settings::parse(&text), Settings::parse(&valid()));
}

/// Guards against policy names in the table that differ from those of the policy type.
#[test]
fn every_policy_is_accepted() {
    for policy in hawthornwall_core::routing::Policy::ALL {
        let text = valid().replacen(
            "admin:",
            &format!("routing: {{ policy: '{policy}' }}, admin:"),
            1,
        );
        let settings = Settings::parse(&text).expect("the policy is accepted");
        assert_eq!(settings.routing.policy, policy);
    }
}
