//! Wording of outcomes for people, and JSON for scripts.

mod daemon;
mod table;
mod verdict;

use hawthornwall_core::config::Configuration;
use hawthornwall_wire::document::{print_document, print_patch};
use serde_json::{Value, json};

use crate::run::{ConfigCheck, Entry, Outcome, Product, SettingsCheck, Verdict};

use self::table::{lines, table};

/// Standard output and standard error of an outcome.
pub fn text(outcome: &Outcome) -> (String, String) {
    let stdout = match outcome {
        Outcome::Config(check) => config(check),
        Outcome::Defaults(text) => text.clone(),
        Outcome::Log(entries) => log(entries),
        Outcome::Patch(verdict, product) => return patch(verdict, product),
        Outcome::Settings(check) => settings(check),
        Outcome::Show(configuration) => show(configuration),
        Outcome::Status(lines) => daemon::lines(lines),
    };
    (stdout, String::new())
}

/// One JSON value with a final newline.
///
/// # Panics
///
/// Never: outcomes hold only types that JSON can hold.
pub fn json(outcome: &Outcome) -> String {
    let value = match outcome {
        Outcome::Config(check) => json!(check),
        Outcome::Defaults(text) => json!({ "defaults": text }),
        Outcome::Log(entries) => json!(entries),
        Outcome::Patch(verdict, product) => with_product(json!(verdict), verdict, product),
        Outcome::Settings(check) => json!(check),
        Outcome::Show(configuration) => json!(configuration),
        Outcome::Status(lines) => lines.iter().map(daemon::value).collect(),
    };
    format!("{value:#}\n")
}

fn with_product(mut value: Value, verdict: &Verdict, product: &Product) -> Value {
    if verdict.faults.is_empty() {
        match product {
            Product::Document(document) => value["document"] = json!(document),
            Product::NoPatch | Product::Nothing | Product::Words => {}
            Product::Patch(patch) => value["patch"] = json!(patch),
        }
    }
    value
}

fn patch(verdict: &Verdict, product: &Product) -> (String, String) {
    let refused = !verdict.faults.is_empty();
    match product {
        // Standard output is redirected to the new file, so that faults don't belong there.
        Product::Document(_) | Product::NoPatch | Product::Patch(_) if refused => {
            (String::new(), verdict::refused(verdict))
        }
        Product::Nothing | Product::Words if refused => (verdict::refused(verdict), String::new()),
        Product::Document(document) => (print_document(document), verdict::words(verdict)),
        Product::NoPatch | Product::Nothing => (
            format!("no faults on {}\n", verdict.version),
            verdict::warnings(verdict),
        ),
        Product::Patch(patch) => (print_patch(patch), verdict::words(verdict)),
        Product::Words => {
            let text = verdict::versions(verdict) + &verdict::words(verdict);
            (text, String::new())
        }
    }
}

fn settings(check: &SettingsCheck) -> String {
    let file = &check.file;
    if check.faults.is_empty() {
        return format!("{file}: no faults\n");
    }
    let faults = check.faults.iter().map(|fault| format!("{file}: {fault}"));
    lines(faults.chain([count(check.faults.len(), "fault")]))
}

fn config(check: &ConfigCheck) -> String {
    let file = &check.file;
    let faults = check.faults.iter().map(|fault| format!("{file}: {fault}"));
    let skipped = check.skipped.iter().flat_map(|entry| {
        let (index, author) = (entry.index + 1, &entry.author);
        let line = move |fault| format!("{file}: patch {index} by {author} is skipped: {fault}");
        entry.faults.iter().map(line)
    });
    let good = if check.is_good() { "no faults; " } else { "" };
    let reached = check.reached.iter().map(|reached| {
        let services = count(reached.services, "service");
        let targets = count(reached.targets, "target");
        format!("{file}: {good}{}, {services}, {targets}", reached.version)
    });
    lines(faults.chain(skipped).chain(reached))
}

fn log(entries: &[Entry]) -> String {
    if entries.is_empty() {
        return "the document holds no patches\n".to_owned();
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
