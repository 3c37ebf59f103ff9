//! Hollow processes: many nodes, or many engines, that share one process.
//!
//! A hollow node runs every duty of a node: sessions with peers, membership, settings, polls, leases.
//! Only its callers are missing. A hollow engine answers polls and orders.

use std::path::Path;

use beamwall_lab::engine::{EngineOptions as EngineBehaviour, EngineTiming, start_engine};
use beamwall_node::Node;

use crate::arguments::DirectoryOptions;
use crate::error::CommandError;
use crate::lab::deployment::{hollow_directory, read_machines, read_nodes};

fn failed(reason: impl std::fmt::Display) -> CommandError {
    CommandError::Experiment(reason.to_string())
}

/// Runs all hollow nodes of a deployment directory until the process is ended.
pub async fn run_nodes(options: &DirectoryOptions) -> Result<(), CommandError> {
    let mut nodes = Vec::new();
    for settings in read_nodes(&hollow_directory(&options.directory))? {
        nodes.push(Node::start(settings).await.map_err(failed)?);
    }
    std::future::pending::<()>().await;
    drop(nodes);
    Ok(())
}

/// Runs all machines of a deployment directory as engines until the process is ended.
pub async fn run_engines(options: &DirectoryOptions) -> Result<(), CommandError> {
    let mut engines = Vec::new();
    for machine in read_machines(Path::new(&options.directory))? {
        let behaviour = EngineBehaviour {
            name: machine.id.clone(),
            timing: EngineTiming::default(),
            checks_orders: true,
            model: String::new(),
            version: String::new(),
        };
        let address = machine.address.parse().map_err(failed)?;
        engines.push(start_engine(address, behaviour).await.map_err(failed)?);
    }
    std::future::pending::<()>().await;
    drop(engines);
    Ok(())
}
