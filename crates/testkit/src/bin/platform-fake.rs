//! Runs the fake platform: `platform-fake --listen ADDRESS [--history FILE]`

use std::error::Error;
use std::path::PathBuf;

use hawthornwall_testkit::arguments::Arguments;
use hawthornwall_testkit::{platform, run};

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::from_env(&platform::OPTIONS)?;
    let listen = arguments.required("listen")?;
    let history: Option<PathBuf> = arguments.optional("history")?;
    run(async {
        let bound = platform::serve(listen, history.as_deref())?;
        println!("listening on {bound}");
        std::future::pending::<Result<(), Box<dyn Error>>>().await
    })?
}
