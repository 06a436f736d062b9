//! Starts the Fællesværftet deployment and keeps it running until a line or the end of standard
//! input is read.

use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment, LaunchError};

fn main() -> Result<(), LaunchError> {
    let options = ClusterOptions {
        keep: true,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(Deployment::Faellesvaerftet, options)?;
    for node in &cluster.nodes {
        println!("{} {:?}", node.plan.name, node.addresses);
    }
    println!(
        "settings, histories and logs are in {}",
        cluster.folder().display()
    );
    let _ = std::io::stdin().read_line(&mut String::new());
    Ok(())
}
