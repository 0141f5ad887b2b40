//! A gateway process, started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;

pub struct Gateway {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("a bound listener").port()
}

/// Returns the program of the deploy file.
fn program() -> PathBuf {
    PathBuf::from("target/release/skylark-gateway")
}

impl Gateway {
    /// Writes the settings of a gateway. `extra` replaces or adds lines.
    pub fn new(
        folder: &Path,
        name: &str,
        ip: &str,
        zone: &str,
        store: SocketAddr,
        extra: &str,
    ) -> Gateway {
        let address = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
        let (frontend, readiness) = (address(free_port(ip)), address(free_port(ip)));
        let (control, metrics, peers) = (free_port(ip), free_port(ip), free_port(ip));
        let text = format!(
            "node_name={name}\nrole=gateway\nmachine_class=edge\nserves=edge\nip={ip}\nzone={zone}\n\
             region=r\nzones.{zone}=r\nlisten.frontend={frontend}\nlisten.readiness={readiness}\n\
             listen.control_plane={ip}:{control}\nlisten.metrics={ip}:{metrics}\n\
             internal_ports={peers},{}\nseeds=\nbootstrap=true\nlimits.cpu_share=0.17\n\
             limits.cpu_cores=1\nlimits.memory_mb=182\nlimits.max_fds=2870\nlimits.link_mbps=700.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             bounds.stable_window_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.config_apply_ms=2000\nbounds.revoke_fail_closed=true\nbounds.revoke_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=129\n\
             bounds.quota_window_s=8\nbounds.quota_overshoot=0.1\nbounds.quota_slack=17000\n\
             bounds.recovery_s=12\nbounds.fencing_required=true\nbounds.lease_ms=3000\n\
             bounds.thaw_ms=300\nbounds.ceiling_window_s=5\nbounds.ceiling_overshoot=1.1\n\
             platform.address={store}\nplatform.form=objects\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n{extra}",
            peers + 1
        );
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("the settings can be written");
        Gateway {
            name: name.to_owned(),
            frontend,
            readiness,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program())
            .env("SKYLARKGW_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends another signal, with the command that is built into the shell.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let pid = self.pid().ok_or("the process does not run")?;
        let status = Command::new("bash").args(["-c", &format!("kill -{name} {pid}")]).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("cannot send {name} to {}", self.name)),
        }
    }

    /// Returns the resident memory in bytes.
    pub fn memory(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        let request = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while started.elapsed() < limit {
            let answer = call(self.readiness, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
