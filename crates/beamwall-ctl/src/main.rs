//! The `beamwallctl` command.

use std::process::ExitCode;

use beamwall_ctl::arguments::{Arguments, Command, WhyOptions};
use beamwall_ctl::error::CommandError;
use beamwall_ctl::{lab, operate, why};
use gumdrop::Options;

/// Exit status of a command line or settings that are not valid.
const EXIT_INVALID: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("beamwallctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = &arguments.command else {
        eprintln!("{}\n{}", Arguments::usage(), Arguments::command_list().unwrap_or_default());
        return ExitCode::from(EXIT_INVALID);
    };
    match run(&arguments, command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            match error {
                CommandError::Usage(_) | CommandError::Invalid(_) | CommandError::Format(..) => {
                    ExitCode::from(EXIT_INVALID)
                }
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn run(arguments: &Arguments, command: &Command) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|cause| CommandError::File("runtime".to_owned(), cause))?;
    runtime.block_on(async {
        match command {
            Command::Lab(options) => match &options.command {
                Some(command) => lab::run(command).await,
                None => Err(CommandError::Usage("a lab command is required".to_owned())),
            },
            Command::Why(options) => tell_why(options),
            other => operate::run(arguments, other).await,
        }
    })
}

fn tell_why(options: &WhyOptions) -> Result<(), CommandError> {
    let lines = why::read_lines(&options.file)?;
    let story = why::explain(&options.request, &lines);
    let story =
        story.ok_or_else(|| CommandError::Usage(format!("no line tells of request {}", options.request)))?;
    print!("{story}");
    Ok(())
}
