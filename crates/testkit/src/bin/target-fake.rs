//! Runs a fake target: `target-fake --name NAME --listen ADDRESS --control ADDRESS [--history FILE]
//! [--seed N] [--behaviour JSON]`

use std::error::Error;

use hawthornwall_testkit::arguments::Arguments;
use hawthornwall_testkit::{run, target};

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::from_env(&target::OPTIONS)?;
    let options = target::Options::from_arguments(&arguments)?;
    run(async {
        let (work, control) = target::serve(&options)?;
        println!("listening on {work}, control on {control}");
        std::future::pending::<Result<(), Box<dyn Error>>>().await
    })?
}
