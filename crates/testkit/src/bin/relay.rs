//! Runs the UDP relay: `relay --settings FILE`

use std::error::Error;
use std::path::PathBuf;

use hawthornwall_testkit::arguments::Arguments;
use hawthornwall_testkit::{relay, run};

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::from_env(&relay::OPTIONS)?;
    let path: PathBuf = arguments.required("settings")?;
    let settings = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    run(async {
        let control = relay::serve(&settings)?;
        println!("control on {control}");
        std::future::pending::<Result<(), Box<dyn Error>>>().await
    })?
}
