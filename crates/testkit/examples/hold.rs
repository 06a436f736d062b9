//! Brings a deployment up and holds it until standard input closes.
use hawthornwall_testkit::launcher::{Cluster, ClusterOptions, Deployment};

fn main() {
    let options = ClusterOptions {
        keep: true,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(Deployment::Faellesvaerftet, options).unwrap();
    for node in &cluster.nodes {
        println!("{} {:?}", node.plan.name, node.place);
    }
    println!("{}", cluster.folder().display());
    let mut line = String::new();
    let _ = std::io::stdin().read_line(&mut line);
}
