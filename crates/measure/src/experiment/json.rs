//! The machine-readable result.

use serde_json::{Value, json};

use super::run::Experiment;

/// Everything needed to repeat the experiment, and its figures. Times are in microseconds.
pub fn to_json(experiment: &Experiment) -> Value {
    let options = &experiment.options;
    let scenario = &experiment.scenario;
    let variants = experiment
        .results
        .iter()
        .map(|(variant, runs)| json!({ "runs": runs, "variant": variant.to_string() }));
    json!({
        "capacity_per_second": scenario.capacity,
        "command": command(),
        "deployment": options.scope.deployment.name(),
        "mean_us": scenario.mean.as_micros() as u64,
        "plan": options.plan.name(),
        "rates": scenario.phases.iter().map(|p| p.rate).collect::<Vec<_>>(),
        "seconds": options.scope.length.as_secs_f64(),
        "seeds": (1..=options.seeds).collect::<Vec<_>>(),
        "variants": variants.collect::<Vec<_>>(),
    })
}

/// The options of this run, without the place of the program and of its results.
fn command() -> Vec<String> {
    let mut words = vec!["experiment".to_owned()];
    let mut arguments = std::env::args().skip(1);
    while let Some(word) = arguments.next() {
        if word == "--out" {
            arguments.next();
        } else {
            words.push(word);
        }
    }
    words
}
