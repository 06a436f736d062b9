//! Brings the Fællesværftet deployment up and holds it until standard input closes.

use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment, LaunchError};

fn main() -> Result<(), LaunchError> {
    let options = ClusterOptions {
        keep: true,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(Deployment::Faellesvaerftet, options)?;
    for node in &cluster.nodes {
        println!("{} {:?}", node.plan.name, node.place);
    }
    println!(
        "settings, histories and logs are in {}",
        cluster.folder().display()
    );
    let _ = std::io::stdin().read_line(&mut String::new());
    Ok(())
}
