//! The fault soak over many seeds, some at a time.

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_platform_stand_ins::soak::{SoakPlan, SoakReport, run as run_seed};
use tokio::task::JoinSet;

use crate::arguments::SoakOptions;
use crate::error::CommandError;

/// Runs the seeds; fails when any promise was broken. Logs of such a seed go to the folder for
/// temporary files.
pub async fn run(options: &SoakOptions) -> Result<(), CommandError> {
    let program = beside_this_program()?;
    let first = if options.first == 0 { seed_of_now() } else { options.first };
    let mut waiting = (first..first + options.seeds).map(|seed| SoakPlan {
        other_build: None,
        program: program.clone(),
        seed,
        gateways: options.gateways,
        duration: Duration::from_secs(options.seconds),
    });
    let mut running: JoinSet<SoakReport> = JoinSet::new();
    let mut broken = Vec::new();
    loop {
        while running.len() < options.jobs.max(1)
            && let Some(plan) = waiting.next()
        {
            running.spawn(async move { run_seed(&plan).await });
        }
        let Some(report) = running.join_next().await else { break };
        let report = report.map_err(|error| CommandError::Experiment(error.to_string()))?;
        println!("{report}");
        if !report.violations.is_empty() {
            println!("  faults: {}\n  logs: {}", report.faults.join("; "), keep_logs(&report)?);
            broken.push(report.seed);
        }
    }
    if broken.is_empty() {
        println!("{} seeds from {first}: all promises held", options.seeds);
        return Ok(());
    }
    Err(CommandError::Experiment(format!("promises were broken with seeds {broken:?}")))
}

fn seed_of_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

fn beside_this_program() -> Result<PathBuf, CommandError> {
    let this = std::env::current_exe();
    let this = this.map_err(|cause| CommandError::File("this program".to_owned(), cause))?;
    Ok(this.with_file_name("beamwall"))
}

fn keep_logs(report: &SoakReport) -> Result<String, CommandError> {
    let path = std::env::temp_dir().join(format!("beamwall-soak-{}.log", report.seed));
    let name = path.display().to_string();
    std::fs::write(&path, &report.logs).map_err(|cause| CommandError::File(name.clone(), cause))?;
    Ok(name)
}
