//! A gateway process, started with the command of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::stage::BOUNDS;
use crate::store::Store;

pub struct Host {
    pub name: String,
    pub clients: SocketAddr,
    readiness: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    folder: PathBuf,
    program: PathBuf,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a free port of an address.
fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Host {
    /// Starts the process of a host.
    pub fn start(folder: &Path, store: &Store, number: u8) -> Host {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 100 + number, high, low.clamp(1, 254));
        let [clients, readiness, peers, metrics] = [0; 4].map(|_: i32| free_port(ip));
        let name = format!("edge-zone-a-{number}");
        let text = format!(
            "node_name={name}\nrole=gateway\nmachine_class=edge\nserves=edge\nip={ip}\nzone=zone-a\n\
             region=region-a\nzones.zone-a=region-a\nlisten.frontend={ip}:{clients}\n\
             listen.readiness={ip}:{readiness}\nlisten.metrics={ip}:{metrics}\n\
             internal_ports={peers},{peers}\nbootstrap=true\nlimits.cpu_share=1.0\n\
             limits.cpu_cores=1\nlimits.memory_mb=182\nlimits.max_fds=2870\n\
             limits.link_mbps=700.0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             fault_tolerance.machines=1\nplatform.address={}\nplatform.form=objects\n\
             platform.value_bytes=1048576\n{BOUNDS}",
            store.address
        );
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let program = PathBuf::from("target/release/skylark-gateway");
        let (folder, clients) = (folder.to_owned(), (ip, clients).into());
        let readiness = (ip, readiness).into();
        let mut host = Host { name, clients, readiness, child: None, settings, folder, program };
        host.spawn();
        host
    }

    fn spawn(&mut self) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new(&self.program)
            .env("SKYLARKGW_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.note_process(child.id());
                self.child = Some(child);
            }
            Err(error) => could_not_run(&format!("the gateway does not start: {error}")),
        }
    }

    /// Adds a process to the file by which `run-2.sh` ends what is left.
    fn note_process(&self, id: u32) {
        let file = File::options().create(true).append(true).open(self.folder.join("processes"));
        // Without the note, the process still ends with this value.
        let _ = file.and_then(|mut file| writeln!(file, "{id}"));
    }

    /// Returns the addresses of the host without its process.
    pub fn for_clients(&self) -> Host {
        Host {
            name: self.name.clone(),
            clients: self.clients,
            readiness: self.readiness,
            child: None,
            settings: self.settings.clone(),
            folder: self.folder.clone(),
            program: self.program.clone(),
        }
    }

    /// Returns the resident memory of the process, in kilobytes, or zero without one.
    pub fn memory_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let words = line.and_then(|line| line.split_whitespace().next());
        words.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It fails if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process again with the same settings, as a host that is no longer new.
    pub fn restart(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings");
        let text = text.replace("bootstrap=true", "bootstrap=false");
        std::fs::write(&self.settings, text).expect("the settings can be written");
        self.spawn();
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.readiness,
            "GET /-/readyz",
            &[("host", "probe")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self) {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > Duration::from_secs(15) {
                could_not_run(&format!("{} does not become ready", self.name));
            }
            sleep(Duration::from_millis(50));
        }
    }
}

/// Panics, which ends all processes; the script then exits with 2.
pub fn could_not_run(reason: &str) -> ! {
    panic!("could not run: {reason}")
}
