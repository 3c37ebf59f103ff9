//! Runs one stand-in as a process.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_lab::Running;
use beamwall_lab::application::ApplicationStandIn;
use beamwall_lab::cloud::{CloudOptions as CloudBehaviour, CloudStandIn};
use beamwall_lab::engine::{EngineOptions as EngineBehaviour, EngineTiming, start_engine};
use beamwall_lab::object_store::{ObjectRates, ObjectStandIn};

use crate::arguments::{CloudOptions, EngineOptions, ListenOptions, NamedOptions};
use crate::error::CommandError;
use crate::lab::deployment::read_machines;

fn address(listen: Option<SocketAddr>) -> Result<SocketAddr, CommandError> {
    listen.ok_or_else(|| CommandError::Usage("option --listen is required".to_owned()))
}

fn listen_error(cause: std::io::Error) -> CommandError {
    CommandError::File("listener".to_owned(), cause)
}

/// Runs the object API until the process is ended.
pub async fn run_platform(options: &ListenOptions) -> Result<(), CommandError> {
    let store = ObjectStandIn::new(ObjectRates::default());
    let running = Running::start(address(options.listen)?, store).await.map_err(listen_error)?;
    running.join().await;
    Ok(())
}

/// Runs the cloud until the process is ended.
pub async fn run_cloud(options: &CloudOptions) -> Result<(), CommandError> {
    let machines = read_machines(&options.directory)?;
    let behaviour = CloudBehaviour { list_lag: Duration::from_millis(options.lag_ms), speed: options.speed };
    let cloud = CloudStandIn::new(machines, behaviour);
    let running = Running::start(address(options.listen)?, cloud).await.map_err(listen_error)?;
    running.join().await;
    Ok(())
}

/// Runs an engine until the process is ended.
pub async fn run_engine(options: &EngineOptions) -> Result<(), CommandError> {
    let behaviour = EngineBehaviour {
        name: options.name.clone(),
        timing: EngineTiming::at_speed(options.speed),
        checks_orders: options.checks_orders,
        model: String::new(),
        version: String::new(),
    };
    let (_, running) = start_engine(address(options.listen)?, behaviour).await.map_err(listen_error)?;
    running.join().await;
    Ok(())
}

/// Runs an application until the process is ended.
pub async fn run_application(options: &NamedOptions) -> Result<(), CommandError> {
    let application = ApplicationStandIn::new(&options.name);
    let running = Running::start(address(options.listen)?, application).await.map_err(listen_error)?;
    running.join().await;
    Ok(())
}
