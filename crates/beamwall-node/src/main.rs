//! The `beamwall` command: runs one entry node, or checks its settings.

use std::path::PathBuf;
use std::process::ExitCode;

use beamwall_config::ProcessSettings;
use beamwall_events::internal_events::SettingsRefused;
use beamwall_events::{LogFormat, emit, start_logging};
use beamwall_node::Node;
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

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
    #[options(help = "check a settings file and list every fault")]
    Validate(SettingsOptions),
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
    match arguments.command {
        Some(Command::Run(options)) => run(&options),
        Some(Command::Validate(options)) => validate(&options),
        None => {
            eprintln!("{}\n{}", Arguments::usage(), Arguments::command_list().unwrap_or_default());
            ExitCode::from(EXIT_INVALID)
        }
    }
}

fn load(options: &SettingsOptions) -> Result<ProcessSettings, String> {
    let file = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings).map_err(|error| format!("{file}: {error}"))?;
    ProcessSettings::parse(&file, &text).map_err(|faults| faults.to_string())
}

fn validate(options: &SettingsOptions) -> ExitCode {
    match load(options) {
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

fn run(options: &SettingsOptions) -> ExitCode {
    let settings = match load(options) {
        Ok(settings) => settings,
        Err(faults) => {
            let _ = start_logging(LogFormat::Json, log::LevelFilter::Info);
            emit(&SettingsRefused { file: options.settings.display().to_string(), faults: faults.clone() });
            eprintln!("{faults}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    let format = if settings.log_json { LogFormat::Json } else { LogFormat::Text };
    let level = settings.log_level.parse().unwrap_or(log::LevelFilter::Info);
    let _ = start_logging(format, level);
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
