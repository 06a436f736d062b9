//! Scenario tests of the aggregates. Each text file creates one aggregate and feeds it timed
//! events; the effects and the final state are compared with a snapshot. `INSTA_UPDATE=always`
//! accepts new output.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

mod active;
mod admission;
mod calls;
mod catalog;
mod gossip;
mod keys;
mod line;
mod members;
mod memory;
mod pipeline;
mod routing;
mod store_sync;

use std::path::{Path, PathBuf};

use line::Line;
use rstest::rstest;

/// The aggregate under test, selected by the first word of the scenario's first line after
/// comments.
enum Aggregate {
    Active(active::Run),
    Balancer(routing::Run),
    Call(calls::Run),
    Catalog(catalog::Run),
    StoreSync(store_sync::Run),
    Gate(Box<admission::Run>),
    Ledger(keys::Run),
    Members(members::Run),
    Memory(memory::Run),
    Gossip(gossip::Run),
    Pipeline(pipeline::Run),
}

impl Aggregate {
    fn create(line: &Line<'_>) -> (Self, Vec<String>) {
        match line.verb {
            "active" => (Self::Active(active::Run::default()), Vec::new()),
            "balancer" => (Self::Balancer(routing::Run::new(line)), Vec::new()),
            "call" => {
                let (run, effects) = calls::Run::new(line);
                (Self::Call(run), effects)
            }
            "catalog" => (Self::Catalog(catalog::Run::default()), Vec::new()),
            "store_sync" => (Self::StoreSync(store_sync::Run::new(line)), Vec::new()),
            "gate" => (Self::Gate(Box::new(admission::Run::new(line))), Vec::new()),
            "ledger" => (Self::Ledger(keys::Run::new(line)), Vec::new()),
            "budget" => (Self::Memory(memory::Run::new(line)), Vec::new()),
            "members" => (Self::Members(members::Run::new(line)), Vec::new()),
            "gossip" => (Self::Gossip(gossip::Run::new(line)), Vec::new()),
            "pipeline" => {
                let (run, effects) = pipeline::Run::new(line);
                (Self::Pipeline(run), effects)
            }
            other => panic!("unknown aggregate `{other}`"),
        }
    }

    fn apply(&mut self, line: &Line<'_>) -> Vec<String> {
        match self {
            Self::Active(run) => run.apply(line),
            Self::Balancer(run) => run.apply(line),
            Self::Call(run) => run.apply(line),
            Self::Catalog(run) => run.apply(line),
            Self::Gate(run) => run.apply(line),
            Self::StoreSync(run) => run.apply(line),
            Self::Ledger(run) => run.apply(line),
            Self::Members(run) => run.apply(line),
            Self::Memory(run) => run.apply(line),
            Self::Gossip(run) => run.apply(line),
            Self::Pipeline(run) => run.apply(line),
        }
    }

    fn verify(&self) -> Vec<String> {
        match self {
            Self::Active(run) => run.active.verify(),
            Self::Balancer(run) => run.balancer.verify(),
            Self::Call(run) => run.call.verify(),
            Self::Catalog(run) => run.catalog.verify(),
            Self::Gate(run) => run.gate.verify(),
            Self::StoreSync(_) => Vec::new(),
            Self::Ledger(run) => run.ledger.verify(),
            Self::Members(run) => run.members.verify(),
            Self::Memory(run) => run.budget.verify(),
            Self::Gossip(run) => run.gossip.verify(),
            Self::Pipeline(run) => run.pipeline.verify(),
        }
    }

    fn state(&self) -> String {
        match self {
            Self::Active(run) => run.state(),
            Self::Balancer(run) => run.state(),
            Self::Call(run) => format!("{:?}", run.call),
            Self::Catalog(run) => run.state(),
            Self::Gate(run) => format!("{:?}", run.gate),
            Self::StoreSync(run) => run.state(),
            Self::Ledger(run) => format!("{:?}", run.ledger),
            Self::Members(run) => run.state(),
            Self::Memory(run) => run.state(),
            Self::Gossip(run) => run.state(),
            Self::Pipeline(run) => format!("{:?}", run.pipeline),
        }
    }
}

fn run_scenario(text: &str) -> String {
    let mut aggregate = None;
    let mut output = String::new();
    for source in text.lines() {
        output += source;
        output += "\n";
        if source.is_empty() || source.starts_with('#') {
            continue;
        }
        let line = Line::parse(source);
        let effects = match &mut aggregate {
            None => {
                let (created, effects) = Aggregate::create(&line);
                aggregate = Some(created);
                effects
            }
            Some(aggregate) => aggregate.apply(&line),
        };
        for effect in effects {
            output.extend(["    ", &effect, "\n"]);
        }
        let violations = aggregate
            .as_ref()
            .map(Aggregate::verify)
            .unwrap_or_default();
        assert!(violations.is_empty(), "after `{source}`: {violations:?}");
    }
    let state = aggregate.map(|a| a.state()).unwrap_or_default();
    format!("{output}\n{state}\n")
}

/// Guards against unreviewed changes of decisions; each scenario names the failure it guards
/// against.
#[rstest]
fn scenarios() {
    let folders = entries(Path::new("tests/scenarios")).filter(|path| path.is_dir());
    let mut paths: Vec<_> = folders.flat_map(|folder| entries(&folder)).collect();
    paths.retain(|path| path.extension().is_some_and(|e| e == "txt"));
    assert!(
        !paths.is_empty(),
        "no scenario files found in tests/scenarios"
    );
    // A failed scenario does not keep the remaining ones from being compared.
    paths.retain(|path| std::panic::catch_unwind(|| compare(path)).is_err());
    assert!(paths.is_empty(), "{paths:?}");
}

fn entries(folder: &Path) -> impl Iterator<Item = PathBuf> + use<> {
    let entries = folder.read_dir().unwrap();
    entries.map(|entry| entry.unwrap().path())
}

fn compare(path: &Path) {
    let folder = path.parent().and_then(Path::file_name).unwrap();
    let text = std::fs::read_to_string(path).unwrap();
    let name = path.file_stem().and_then(|s| s.to_str()).unwrap();
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path(folder);
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, run_scenario(&text)));
}
