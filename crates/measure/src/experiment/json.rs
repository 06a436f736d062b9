//! Results of an experiment as JSON.

use serde_json::{Value, json};

use super::run::Experiment;

/// Returns the figures of an experiment with everything needed to repeat it. Times are in
/// microseconds unless the field's name has another unit.
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

/// Command line of this run, without the program's path and the output folder.
fn command() -> Vec<String> {
    let mut command_line = vec!["experiment".to_owned()];
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        if argument == "--out" {
            arguments.next();
        } else {
            command_line.push(argument);
        }
    }
    command_line
}
