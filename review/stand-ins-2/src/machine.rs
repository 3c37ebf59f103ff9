//! One entry machine: the gateway process with the settings that the template gives for a small deployment.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use beamwall_http::{JsonClient, Pool};
use tokio::process::{Child, Command};

use crate::program;

/// The bounds of a deployment that the template asks for.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub retry_extra: u32,
    pub quota_slack: u32,
    pub report_window_s: u32,
    pub grace_s: u32,
}

/// How a machine's process is started.
#[derive(Debug, Clone)]
pub struct Plan {
    pub name: String,
    pub zone: String,
    /// Callers, readiness, peers, metrics.
    pub listen: [SocketAddr; 4],
    pub seeds: Vec<SocketAddr>,
    /// Where the others reach it, if a proxy stands before it.
    pub advertised: Option<SocketAddr>,
    pub store: SocketAddr,
    pub duties: SocketAddr,
    pub bounds: Bounds,
}

impl Plan {
    /// `deploy/gateway.toml` with its gaps filled.
    fn settings(&self) -> String {
        let [callers, readiness, peers, metrics] = self.listen;
        let advertised =
            self.advertised.map(|address| format!("advertised = \"{address}\"\n")).unwrap_or_default();
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let Bounds { retry_extra, quota_slack, report_window_s, grace_s } = self.bounds;
        format!(
            "[node]\nname = \"{}\"\nzone = \"{}\"\nthreads = 1\nlink_mbps = 1000.0\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\
             [peers]\n{advertised}seeds = [{}]\n[store]\naddress = \"{}\"\n\
             [duties]\naddress = \"{}\"\nreport_usage = true\norder_capacity = true\n\
             [capacity]\nahead = false\n[usage]\nwindow_s = {report_window_s}\n\
             [retries]\nratio = 0.2\nextra = {retry_extra}\nwindow_s = 10\n\
             [quotas]\nslack = {quota_slack}\noverage = 0.1\nwindow_s = 8\n\
             [pace]\nenabled = false\n[engines]\nlearn_speeds = false\n[admission]\nenabled = false\n\
             [streams]\nmove_on_reclaim = false\n[limits]\ndrain_s = {grace_s}\n\
             [log]\nformat = \"json\"\nlevel = \"info\"\n",
            self.name,
            self.zone,
            seeds.join(", "),
            self.store,
            self.duties
        )
    }
}

/// A running process; it is killed when dropped.
pub struct Machine {
    pub plan: Plan,
    child: Child,
    settings: PathBuf,
}

impl Machine {
    /// Starts the process.
    ///
    /// # Errors
    /// If the settings can't be written or the program can't be started.
    pub fn start(plan: Plan) -> std::io::Result<Self> {
        let folder = std::env::temp_dir();
        let settings = folder.join(format!("review-{}-{}.toml", std::process::id(), plan.name));
        std::fs::File::create(&settings)?.write_all(plan.settings().as_bytes())?;
        let child = spawn(&settings)?;
        Ok(Self { plan, child, settings })
    }

    /// Starts the process again after its end.
    ///
    /// # Errors
    /// If the program can't be started.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.settings)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// Waits until the process says that it is ready; `false` if it isn't in time.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let pool = Pool::new(Duration::from_millis(300));
        let client = JsonClient::new(pool, self.plan.listen[1], Duration::from_secs(1));
        let until = tokio::time::Instant::now() + limit;
        while tokio::time::Instant::now() < until {
            if client.get("/v1/ready").await.is_ok_and(|answer| answer.status.is_success()) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &std::path::Path) -> std::io::Result<Child> {
    Command::new(program())
        .arg("gateway")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
}
