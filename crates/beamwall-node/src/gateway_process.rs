//! The gateway as a process: settings, signals, and the ports to the users' platform.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use beamwall_config::GatewaySettings;
use beamwall_events::emit;
use beamwall_events::internal_events::{SettingsRefused, SettingsReloaded};
use beamwall_gateway::DutyPort;
use beamwall_gateway::ports::RolloutStore;
use beamwall_http::{JsonClient, Pool};
use beamwall_node::{GatewayNode, Ports};
use beamwall_platform::{
    ObjectsClient, PlatformDialect, PlatformDuties, PlatformRollouts, PlatformStore, READINESS_PATH,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{begin_logging, load, refuse};

/// Longest time to open a connection to the platform.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// Runs a gateway until SIGTERM.
pub fn run(path: &Path) -> ExitCode {
    let settings = match load(path, GatewaySettings::parse) {
        Ok(settings) => settings,
        Err(faults) => return refuse(path, faults),
    };
    begin_logging(settings.log_json, &settings.log_level, settings.node.as_str());
    let mut builder = match settings.threads {
        1 => tokio::runtime::Builder::new_current_thread(),
        threads => {
            let mut builder = tokio::runtime::Builder::new_multi_thread();
            builder.worker_threads(threads);
            builder
        }
    };
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(serve(path, settings)),
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

fn connect_platform(settings: &GatewaySettings) -> Ports {
    let pool = Pool::new(CONNECT_LIMIT);
    let client = |address| JsonClient::new(pool.clone(), address, settings.store_timeout);
    let objects = ObjectsClient::new(client(settings.store).with_patience());
    let duties =
        settings.duties.map(|address| Arc::new(PlatformDuties::new(client(address))) as Arc<dyn DutyPort>);
    let follows_rollouts = settings.exposure_share > 0.0;
    let rollouts = || Arc::new(PlatformRollouts::new(objects.clone())) as Arc<dyn RolloutStore>;
    Ports {
        dialect: Arc::new(PlatformDialect),
        rollouts: follows_rollouts.then(rollouts),
        store: Arc::new(PlatformStore::new(objects.clone())),
        objects: Arc::new(objects),
        duties,
        readiness_path: READINESS_PATH,
    }
}

async fn serve(path: &Path, settings: GatewaySettings) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::hangup()));
    let (Ok(mut terminate), Ok(hangup)) = signals else {
        eprintln!("cannot listen for signals");
        return ExitCode::FAILURE;
    };
    let ports = connect_platform(&settings);
    let node = match GatewayNode::start(settings.clone(), ports).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        () = reload_on(hangup, path, settings) => {}
    }
    node.drain().await;
    ExitCode::SUCCESS
}

/// Reads the settings again at each signal. A faulty file is refused whole and the settings in force
/// stay; what a change touches takes effect with the next start.
async fn reload_on(mut hangup: Signal, path: &Path, in_force: GatewaySettings) {
    let mut known = in_force;
    while hangup.recv().await.is_some() {
        let file = path.display().to_string();
        match load(path, GatewaySettings::parse) {
            Ok(settings) => {
                emit(&SettingsReloaded { file, changed: (settings != known).to_string() });
                known = settings;
            }
            Err(faults) => emit(&SettingsRefused { file, faults }),
        }
    }
}
