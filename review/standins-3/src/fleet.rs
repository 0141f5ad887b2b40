//! Gateway processes, each at a loopback address of its own.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// Ports of a gateway, below those that the system assigns.
const PORTS: [u16; 4] = [20_101, 20_102, 20_103, 20_104];

/// A gateway process, which is killed when this value is dropped.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    readiness: SocketAddr,
    child: Child,
    settings: PathBuf,
}

/// Starts the program of the deploy file, whose output is added to a log.
fn spawn(settings: &Path) -> std::io::Result<Child> {
    let program = std::env::var("GATEWAY").unwrap_or("target/release/skylark-gateway".to_owned());
    let log = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(log)?;
    let command = &mut Command::new(program);
    command.env("SKYLARKGW_SETTINGS", settings).stdout(log.try_clone()?).stderr(log).spawn()
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// Starts a gateway. `folder` is a temporary one.
    pub fn start(
        number: u8,
        store: &Store,
        folder: &Path,
        further: &str,
    ) -> std::io::Result<Gateway> {
        // Two runs at once do not share addresses.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 10 + number, high, low.max(1));
        let [callers, readiness, peers, metrics] = PORTS;
        let name = format!("edge-a-{number}");
        let settings = format!(
            "node_name={name}\nrole=gateway\nmachine_class=edge\nserves=edge\nip={ip}\nzone=a\n\
             region=r\nzones.a=r\nlisten.frontend={ip}:{callers}\nlisten.readiness={ip}:{readiness}\n\
             listen.metrics={ip}:{metrics}\ninternal_ports={peers},{peers}\nbootstrap=true\n\
             limits.cpu_share=1\nlimits.cpu_cores=1\nlimits.memory_mb=182\nlimits.max_fds=2870\n\
             limits.link_mbps=700.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat_ms=1200\nbounds.stable_window_ms=3000\nbounds.drain_ms=2000\n\
             bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.revoke_fail_closed=true\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n\
             bounds.retry_window_s=10\nbounds.retry_slack=129\nbounds.quota_window_s=8\n\
             bounds.quota_overshoot=0.1\nbounds.quota_slack=17000\nbounds.recovery_s=12\n\
             bounds.fencing_required=true\nbounds.lease_ms=3000\nbounds.thaw_ms=300\n\
             bounds.ceiling_window_s=5\nbounds.ceiling_overshoot=1.1\n\
             platform.address={}\nplatform.form=objects\n{further}",
            store.address
        );
        let path: PathBuf = folder.join(format!("{name}.conf"));
        std::fs::write(&path, settings)?;
        let child = spawn(&path)?;
        let at = |port: u16| SocketAddr::from((ip, port));
        Ok(Gateway { name, address: at(callers), readiness: at(readiness), child, settings: path })
    }

    /// Memory of the process that no file backs, in bytes, or zero if it has ended.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok());
        kilobytes.unwrap_or(0_u64) * 1024
    }

    /// Kills the process with SIGKILL, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, at the same addresses.
    pub fn restart(&mut self) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace("bootstrap=true", "bootstrap=false"))?;
        self.child = spawn(&self.settings)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        http::get(self.readiness, "/-/readyz").is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the gateway is ready, for at most 20 s.
    pub fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) -> bool {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        status.is_ok_and(|status| status.success())
    }
}
