//! The `beamwall` command: runs one entry node or gateway, or checks its settings.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use beamwall_config::{Faults, GatewaySettings, ProcessSettings};
use beamwall_events::internal_events::SettingsRefused;
use beamwall_events::{LogFormat, emit, finish_logging, start_logging};
use beamwall_node::Node;
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

mod gateway_process;

/// Exit status of a command line or settings that are not valid.
const EXIT_INVALID: u8 = 2;

/// Options of `beamwall`.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "show the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a node until SIGTERM, then drain it")]
    Run(SettingsOptions),
    #[options(help = "run a gateway on the users' platform until SIGTERM, then drain it")]
    Gateway(SettingsOptions),
    #[options(help = "check a node's settings file and list every fault")]
    Validate(SettingsOptions),
    #[options(help = "check a gateway's settings file and list every fault")]
    ValidateGateway(SettingsOptions),
}

#[derive(Debug, Options)]
struct SettingsOptions {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "path of the settings file", required)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("beamwall {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let status = execute(arguments);
    finish_logging();
    status
}

fn execute(arguments: Arguments) -> ExitCode {
    match arguments.command {
        Some(Command::Run(options)) => run(&options),
        Some(Command::Gateway(options)) => gateway_process::run(&options.settings),
        Some(Command::Validate(options)) => report(&options, load(&options.settings, ProcessSettings::parse)),
        Some(Command::ValidateGateway(options)) => {
            report(&options, load(&options.settings, GatewaySettings::parse))
        }
        None => {
            eprintln!("{}\n{}", Arguments::usage(), Arguments::command_list().unwrap_or_default());
            ExitCode::from(EXIT_INVALID)
        }
    }
}

/// Reads and checks a settings file; the text of the error lists every fault.
fn load<T>(path: &Path, parse: impl Fn(&str, &str) -> Result<T, Faults>) -> Result<T, String> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    parse(&file, &text).map_err(|faults| faults.to_string())
}

fn report<T>(options: &SettingsOptions, loaded: Result<T, String>) -> ExitCode {
    match loaded {
        Ok(_) => {
            println!("{}: valid", options.settings.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::from(EXIT_INVALID)
        }
    }
}

/// Logs and prints why settings were refused.
fn refuse(path: &Path, faults: String) -> ExitCode {
    let _ = start_logging(LogFormat::Json, log::LevelFilter::Info, "");
    eprintln!("{faults}");
    emit(&SettingsRefused { file: path.display().to_string(), faults });
    ExitCode::from(EXIT_INVALID)
}

/// Starts logging as the settings say.
fn begin_logging(json: bool, level: &str, node: &str) {
    let format = if json { LogFormat::Json } else { LogFormat::Text };
    let _ = start_logging(format, level.parse().unwrap_or(log::LevelFilter::Info), node);
}

fn run(options: &SettingsOptions) -> ExitCode {
    let settings = match load(&options.settings, ProcessSettings::parse) {
        Ok(settings) => settings,
        Err(faults) => return refuse(&options.settings, faults),
    };
    begin_logging(settings.log_json, &settings.log_level, settings.node.as_str());
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(settings.threads).enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve_until_signal(settings)),
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve_until_signal(settings: ProcessSettings) -> ExitCode {
    let (terminate, interrupt) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        eprintln!("cannot listen for signals");
        return ExitCode::FAILURE;
    };
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.drain().await;
    ExitCode::SUCCESS
}
