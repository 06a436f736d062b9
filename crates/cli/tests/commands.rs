//! Output and exit code of each command, at a fixed time.

use std::time::{Duration, SystemTime};

use hawthornwall_cli::execute;
use hawthornwall_cli::exit::Exit;
use hawthornwall_cli::help::Topic;
use insta::assert_snapshot;
use rstest::rstest;

/// 2026-01-07T12:00:00Z.
const NOW: Duration = Duration::from_hours(491_052);

/// Runs a command line, split at spaces. Names that end in `.json` refer to the folder of test
/// files.
fn run(line: &str) -> String {
    let resolve = |arg: &str| match arg.strip_suffix(".json") {
        Some(_) => format!("{}/tests/files/{arg}", env!("CARGO_MANIFEST_DIR")),
        None => arg.to_owned(),
    };
    let args = line.split_whitespace().map(|arg| resolve(arg).into());
    let output = execute(args, SystemTime::UNIX_EPOCH + NOW);
    let folder = format!("{}/tests/files/", env!("CARGO_MANIFEST_DIR"));
    let text = format!(
        "$ hawthornwall {line}\n{}--- errors\n{}--- exit {}",
        output.stdout,
        output.stderr,
        output.exit.code()
    );
    text.replace(&folder, "")
}

/// Guards against a help text that is missing, belongs to another command, or is too wide for a
/// terminal.
#[test]
fn help() {
    let mut all = String::new();
    for topic in Topic::ALL {
        let args = topic.command_name().split_whitespace().chain(["--help"]);
        let output = execute(args.map(Into::into), SystemTime::UNIX_EPOCH);
        assert_eq!(
            (output.exit, output.stdout.as_str()),
            (Exit::Ok, topic.text())
        );
        assert!(
            topic.text().lines().all(|l| l.len() <= 90),
            "{topic:?} is too wide"
        );
        all.extend(["======== ", topic.command_name(), "\n", topic.text()]);
    }
    assert_snapshot!(all);
}

/// Guards against a command with wrong output or a wrong exit code.
#[rstest]
#[case::check_settings("check_settings", "check --settings settings.json")]
#[case::check_config("check_config", "check --config now.json")]
#[case::check_broken("check_broken", "check --config broken.json")]
#[case::check_malformed("check_malformed", "check --config malformed.json")]
#[case::check_json("check_json", "check --config now.json --json")]
#[case::check_settings_json("check_settings_json", "check --settings settings.json --json")]
#[case::check_machine("check_machine", "check --settings machine.json")]
#[case::check_machine_json("check_machine_json", "check --settings machine.json --json")]
#[case::show("show", "show --config now.json")]
#[case::show_json("show_json", "show --config now.json --json")]
#[case::log("log", "log --config now.json")]
#[case::log_json("log_json", "--json log --config now.json")]
#[case::compact("compact", "compact --config now.json")]
#[case::diff_same("diff_same", "diff now.json now.json")]
#[case::diff_older("diff_older", "diff now.json empty.json")]
#[case::diff_other_history("diff_other_history", "diff now.json other-history.json")]
#[case::patch_check("patch_check", "patch check --config now.json good.patch.json")]
#[case::patch_check_stale("patch_check_stale", "patch check --config now.json stale.patch.json")]
#[case::patch_check_faulty(
    "patch_check_faulty",
    "patch check --config now.json faulty.patch.json"
)]
#[case::patch_check_json(
    "patch_check_json",
    "patch check --config now.json stale.patch.json --json"
)]
#[case::patch_diff("patch_diff", "patch diff --config now.json good.patch.json")]
#[case::patch_diff_json(
    "patch_diff_json",
    "patch diff --config now.json good.patch.json --json"
)]
#[case::patch_add("patch_add", "patch add --config empty.json first.patch.json")]
#[case::patch_add_broken("patch_add_broken", "patch add --config broken.json good.patch.json")]
#[case::patch_add_stale("patch_add_stale", "patch add --config now.json stale.patch.json")]
#[case::undo("undo", "undo v2 --config now.json --author ada")]
#[case::undo_json("undo_json", "undo 2 --config now.json --author ada --json")]
#[case::undo_first("undo_first", "undo v1 --config now.json --author ada")]
#[case::undo_unknown("undo_unknown", "undo v9 --config now.json --author ada")]
#[case::no_file("no_file", "show --config nowhere.json")]
#[case::no_document("no_document", "show --config malformed.json")]
fn command(#[case] name: &str, #[case] line: &str) {
    assert_snapshot!(name, run(line));
}

/// Guards against a fault of a configuration in the form of the platform's store that goes unnoticed, and
/// against a wrong location or exit code.
#[rstest]
#[case::good("good", "check --config routes.json")]
#[case::good_json("good_json", "check --config routes.json --json")]
#[case::warnings("warnings", "check --config routes-warnings.json")]
#[case::warnings_json("warnings_json", "check --config routes-warnings.json --json")]
#[case::errors("errors", "check --config routes-errors.json")]
#[case::errors_json("errors_json", "check --config routes-errors.json --json")]
#[case::no_weight("no_weight", "check --config routes-no-weight.json")]
#[case::cut("cut", "check --config routes-cut.json")]
#[case::against("against", "check --config routes-next.json --against routes.json")]
#[case::against_json(
    "against_json",
    "check --config routes-next.json --against routes.json --json"
)]
#[case::against_newer(
    "against_newer",
    "check --config routes.json --against routes-next.json"
)]
#[case::against_same("against_same", "check --config routes.json --against routes.json")]
#[case::against_of_errors(
    "against_of_errors",
    "check --config routes-errors.json --against routes.json"
)]
#[case::against_errors(
    "against_errors",
    "check --config routes.json --against routes-errors.json"
)]
#[case::against_other_form("against_other_form", "check --config routes.json --against now.json")]
#[case::other_form("other_form", "check --config now.json --against routes.json")]
#[case::against_no_file("against_no_file", "check --config routes.json --against nowhere.json")]
fn routes(#[case] name: &str, #[case] line: &str) {
    assert_snapshot!(format!("routes_{name}"), run(line));
}

/// Guards against a change that becomes a wrong patch, and against printing a patch with faults.
#[rstest]
#[case::create_service(
    "create_service",
    "create-service lot --hosts lot.example,l.example --deadline-ms 500 --hedge off"
)]
#[case::create_target(
    "create_target",
    "create-target calendar-6 --service calendar --domain dk-1 --slots 10"
)]
#[case::update_target("update_target", "update-target calendar-2 --slots 8")]
#[case::update_service(
    "update_service",
    "update-service orders --queue-wait-ms 50 --retry-percent 0"
)]
#[case::remove_hosts("remove_hosts", "update-service calendar --hosts ,")]
#[case::remove_target(
    "remove_target",
    "remove-target orders-1 and remove-target orders-2 and remove-service orders"
)]
#[case::faulty(
    "faulty",
    "create-target calendar-1 --service lot --domain dk-1 --slots 10"
)]
fn patch_new(#[case] name: &str, #[case] change: &str) {
    let line = format!("patch new --config now.json --author ada --note test {change}");
    assert_snapshot!(format!("patch_new_{name}"), run(&line));
}

/// Guards against invalid arguments that are accepted with another meaning.
#[rstest]
#[case("")]
#[case("chekc")]
#[case("--verbose")]
#[case("patch")]
#[case("patch chekc")]
#[case("check")]
#[case("check --settings settings.json --config now.json")]
#[case("check --settings")]
#[case("check --settings settings.json --settings settings.json")]
#[case("check --daemon 127.0.0.1:1")]
#[case("check --against routes.json")]
#[case("check --settings settings.json --against routes.json")]
#[case("check --config routes.json --against")]
#[case("show")]
#[case("show --config now.json --daemon 127.0.0.1:1")]
#[case("show --config now.json extra")]
#[case("status")]
#[case("status --daemon localhost:1")]
#[case("diff now.json")]
#[case("diff now.json now.json now.json")]
#[case("undo --config now.json --author ada")]
#[case("undo vv --config now.json --author ada")]
#[case("undo v2 --config now.json")]
#[case("patch add --config now.json")]
#[case("patch new --config now.json create-service lot")]
#[case("patch new --config now.json --author ada")]
#[case("patch new --config now.json --author ada create-service")]
#[case("patch new --config now.json --author ada create lot")]
#[case("patch new --config now.json --author ada create-service lot remove-target x")]
#[case("patch new --config now.json --author ada create-service lot and")]
#[case("patch new --config now.json --author ada create-service lot --slots 3")]
#[case("patch new --config now.json --author ada create-target lot-1 --service lot --slots 3")]
#[case("patch new --config now.json --author ada update-target lot-1 --slots three")]
#[case("patch new --config now.json --author ada update-target lot-1 --slots 3 --slots 4")]
#[case("patch new --config now.json --author ada update-target lot-1")]
#[case("patch new --config now.json --author ada update-service lot --hedge maybe")]
fn usage(#[case] line: &str) {
    let output = execute(
        line.split_whitespace().map(Into::into),
        SystemTime::UNIX_EPOCH,
    );
    assert_eq!((output.exit, output.stdout.as_str()), (Exit::Usage, ""));
    let name = line.replace([' ', '.', ':', '/'], "_");
    assert_snapshot!(format!("usage_{name}"), output.stderr);
}

/// Guards against exit codes that differ from the documented ones.
#[test]
fn exit_codes() {
    let codes = [
        Exit::Ok,
        Exit::Faults,
        Exit::Usage,
        Exit::Unreachable,
        Exit::Content,
    ];
    assert_eq!(codes.map(Exit::code), [0, 1, 2, 3, 4]);
    for code in codes {
        let line = format!("\n  {}  ", code.code());
        assert!(Topic::Tool.text().contains(&line));
    }
}
