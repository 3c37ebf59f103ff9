//! The lab's commands.

pub mod demo;
pub mod deployment;
pub mod hollow;
pub mod load;
pub mod overhead;
pub mod sample;
pub mod scale;
pub mod soak;
pub mod stand_ins;

use crate::arguments::LabCommand;
use crate::error::CommandError;

/// Runs one command of the lab.
pub async fn run(command: &LabCommand) -> Result<(), CommandError> {
    match command {
        LabCommand::Platform(options) => stand_ins::run_platform(options).await,
        LabCommand::Cloud(options) => stand_ins::run_cloud(options).await,
        LabCommand::Engine(options) => stand_ins::run_engine(options).await,
        LabCommand::Application(options) => stand_ins::run_application(options).await,
        LabCommand::Demo(options) => demo::run(options).await,
        LabCommand::Overhead(options) => overhead::run(options).await,
        LabCommand::Load(options) => load::run(options).await,
        LabCommand::Scale(options) => scale::run(options).await,
        LabCommand::Soak(options) => soak::run(options).await,
        LabCommand::HollowNodes(options) => hollow::run_nodes(options).await,
        LabCommand::HollowEngines(options) => hollow::run_engines(options).await,
    }
}
