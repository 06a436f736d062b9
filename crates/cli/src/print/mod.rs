//! Formats outcomes as text for operators and as JSON for scripts.

mod daemon;
mod report;
mod table;

use hawthornwall_core::config::Configuration;
use hawthornwall_wire::document::{print_document, print_patch};
use serde_json::{Value, json};

use crate::run::{
    Artifact, ChangeReport, ConfigCheck, Entry, MachineLimits, Outcome, RoutesCheck, SettingsCheck,
    Severity,
};

use self::table::{lines, table};

/// Formats an outcome as text. Returns the texts for standard output and standard error.
pub fn text(outcome: &Outcome) -> (String, String) {
    let stdout = match outcome {
        Outcome::Config(check) => config(check),
        Outcome::Defaults(text) => text.clone(),
        Outcome::Log(entries) => log(entries),
        Outcome::Patch(report, artifact) => return patch(report, artifact),
        Outcome::Routes(check) => routes(check),
        Outcome::Settings(check) => settings(check),
        Outcome::Show(configuration) => show(configuration),
        Outcome::Status(daemons) => daemon::lines(daemons),
    };
    (stdout, String::new())
}

/// Formats an outcome as one JSON value, followed by a newline.
///
/// # Panics
///
/// Never: an outcome contains only values that JSON can represent.
pub fn json(outcome: &Outcome) -> String {
    let value = match outcome {
        Outcome::Config(check) => json!(check),
        Outcome::Defaults(text) => json!({ "defaults": text }),
        Outcome::Log(entries) => json!(entries),
        Outcome::Patch(report, artifact) => with_artifact(json!(report), report, artifact),
        Outcome::Routes(check) => json!(check),
        Outcome::Settings(check) => json!(check),
        Outcome::Show(configuration) => json!(configuration),
        Outcome::Status(daemons) => daemons.iter().map(daemon::status_json).collect(),
    };
    format!("{value:#}\n")
}

fn with_artifact(mut value: Value, report: &ChangeReport, artifact: &Artifact) -> Value {
    if report.faults.is_empty() {
        match artifact {
            Artifact::Document(document) => value["document"] = json!(document),
            Artifact::NoPatch | Artifact::Nothing | Artifact::Text => {}
            Artifact::Patch(patch) => value["patch"] = json!(patch),
        }
    }
    value
}

fn patch(report: &ChangeReport, artifact: &Artifact) -> (String, String) {
    let refused = !report.faults.is_empty();
    match artifact {
        // Standard output is usually redirected to the new file, so faults go to standard error.
        Artifact::Document(_) | Artifact::NoPatch | Artifact::Patch(_) if refused => {
            (String::new(), report::refusal(report))
        }
        Artifact::Nothing | Artifact::Text if refused => (report::refusal(report), String::new()),
        Artifact::Document(document) => (print_document(document), report::effects(report)),
        Artifact::NoPatch | Artifact::Nothing => (
            format!("no faults when applied to {}\n", report.version),
            report::warnings(report),
        ),
        Artifact::Patch(patch) => (print_patch(patch), report::effects(report)),
        Artifact::Text => {
            let text = report::versions(report) + &report::effects(report);
            (text, String::new())
        }
    }
}

fn settings(check: &SettingsCheck) -> String {
    let file = &check.file;
    if check.faults.is_empty() {
        let limits = check.limits.as_ref().map(machine_limits);
        return format!("{file}: no faults{}\n", limits.unwrap_or_default());
    }
    let faults = check.faults.iter().map(|fault| format!("{file}: {fault}"));
    lines(faults.chain([count(check.faults.len(), "fault")]))
}

fn machine_limits(limits: &MachineLimits) -> String {
    let body = Some(format!("; bodies up to {} bytes", limits.body));
    let buffered = limits.buffered.map(|n| format!(", {n} bytes buffered"));
    let connections = limits.connections.map(|n| format!(", {n} connections"));
    [body, buffered, connections]
        .into_iter()
        .flatten()
        .collect()
}

fn config(check: &ConfigCheck) -> String {
    let file = &check.file;
    let faults = check.faults.iter().map(|fault| format!("{file}: {fault}"));
    let skipped = check.skipped.iter().flat_map(|entry| {
        let (index, author) = (entry.index + 1, &entry.author);
        let line = move |fault| format!("{file}: patch {index} by {author} is skipped: {fault}");
        entry.faults.iter().map(line)
    });
    let no_faults = if check.is_good() { "no faults; " } else { "" };
    let reached = check.reached.iter().map(|reached| {
        let services = count(reached.services, "service");
        let targets = count(reached.targets, "target");
        format!(
            "{file}: {no_faults}{}, {services}, {targets}",
            reached.version
        )
    });
    lines(faults.chain(skipped).chain(reached))
}

fn routes(check: &RoutesCheck) -> String {
    let file = &check.file;
    let findings = check.findings.iter();
    let findings = findings.map(|f| (f.severity, &f.value.text));
    let differences = check.differences.iter();
    let differences = differences.map(|d| (d.severity, &d.value.text));
    let all = findings.chain(differences).map(|(severity, text)| {
        let label = match severity {
            Severity::Difference => "",
            Severity::Error => "error: ",
            Severity::Warning => "warning: ",
        };
        format!("{file}: {label}{text}")
    });
    let errors = count(check.errors, "error");
    let warnings = count(check.warnings, "warning");
    let reached = check.version.map_or(String::new(), |version| {
        let routes = count(check.routes, "route");
        let services = count(check.services, "service");
        format!("{version}, {routes}, {services}, ")
    });
    let summary = format!("{file}: {reached}{errors}, {warnings}");
    lines(all.chain([summary]))
}

fn log(entries: &[Entry]) -> String {
    if entries.is_empty() {
        return "the document has no patches\n".to_owned();
    }
    let mut rows = vec![["VERSION", "TIME", "AUTHOR", "NOTE"].map(str::to_owned)];
    for entry in entries {
        let version = entry
            .version
            .map_or("skipped".to_owned(), |v| v.to_string());
        let mut note = entry.note.clone();
        for fault in &entry.faults {
            let gap = if note.is_empty() { "" } else { "; " };
            note = format!("{note}{gap}skipped: {fault}");
        }
        rows.push([version, entry.time.clone(), entry.author.clone(), note]);
    }
    table(&rows)
}

fn show(config: &Configuration) -> String {
    let head = [
        "SERVICE",
        "HOSTS",
        "TIME LIMIT",
        "QUEUE WAIT",
        "HEDGE",
        "RETRIES",
        "TARGETS",
        "SLOTS",
    ];
    let mut services = vec![head.map(str::to_owned)];
    for (id, service) in &config.services {
        let (rules, targets) = (&service.rules, config.targets_of(*id));
        let slots: Vec<_> = targets.map(|(_, target)| target.slots).collect();
        let hosts: Vec<_> = service.hosts.iter().map(String::as_str).collect();
        services.push([
            service.name.clone(),
            if hosts.is_empty() {
                "-".to_owned()
            } else {
                hosts.join(",")
            },
            format!("{} ms", rules.deadline.as_millis()),
            format!("{} ms", rules.queue_wait.as_millis()),
            if rules.hedge { "on" } else { "off" }.to_owned(),
            format!("{} %", rules.retry_percent),
            slots.len().to_string(),
            slots.iter().sum::<u32>().to_string(),
        ]);
    }
    let mut targets = vec![["TARGET", "SERVICE", "DOMAIN", "SLOTS"].map(str::to_owned)];
    for target in config.targets.values() {
        let service = config.service_name(target).to_owned();
        let slots = target.slots.to_string();
        targets.push([target.name.clone(), service, target.domain.clone(), slots]);
    }
    let version = format!("{}, digest {:016x}", config.version, config.digest);
    format!("{version}\n\n{}\n{}", table(&services), table(&targets))
}

fn count(number: usize, what: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {what}{plural}")
}
