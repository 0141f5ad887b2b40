//! Starts processes on free ports and ends them when the test ends.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use skylarkgw::configuration::FleetConfiguration;
use skylarkgw::decision::keys::KeyHasher;
use skylarkgw::operator::{ChangeRequest, accept_change, issue_key};
use skylarkgw::operator_api::HostStatus;
use skylarkgw::platform::PlatformClient;
use skylarkgw::telemetry::Metrics;

/// Longest wait for an event; far beyond what a loaded machine takes.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Secret that all hosts of a test hash keys with.
pub const KEY_SECRET: &str = "a secret that is used in tests only";

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// A process that ends with the test.
pub struct TestProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl TestProcess {
    /// Starts a program of this workspace.
    pub fn start(program: &str, arguments: &[&str]) -> TestProcess {
        let mut child = Command::new(program_path(program))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| panic!("{program}: {error}; build the workspace first"));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = child.stdout.take().expect("standard output is piped");
        let collected = lines.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                collected.lock().expect("no holder panics").push(line);
            }
        });
        TestProcess { child, lines }
    }

    /// Returns everything that the process has printed.
    pub fn output(&self) -> String {
        self.lines.lock().expect("no holder panics").join("\n")
    }

    /// Waits for a line of output that a function makes something of.
    pub fn wait_line<T>(&self, find: impl Fn(&str) -> Option<T>) -> T {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            let found =
                self.lines.lock().expect("no holder panics").iter().find_map(|line| find(line));
            if let Some(found) = found {
                return found;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the process never printed the line; it printed:\n{}", self.output());
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success());
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to end by itself.
    pub async fn wait_exit(&mut self) -> std::process::ExitStatus {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().expect("the child can be asked") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the process never ended");
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn program_path(program: &str) -> PathBuf {
    let engine = Path::new(env!("CARGO_BIN_EXE_standin-engine"));
    engine.parent().expect("programs stand in a folder").join(program)
}

/// A stand-in and its address.
pub struct Standin {
    pub process: TestProcess,
    pub address: String,
}

impl Standin {
    pub fn start(program: &str, arguments: &[&str]) -> Standin {
        let process = TestProcess::start(program, arguments);
        let address = process.wait_line(|line| line.strip_prefix("listening ").map(str::to_owned));
        Standin { process, address }
    }

    pub async fn set_faults(&self, plan: Value) {
        let response = http()
            .post(format!("http://{}/standin/faults", self.address))
            .json(&plan)
            .send()
            .await
            .expect("the stand-in answers");
        assert_eq!(response.status(), 200, "{}", response.text().await.unwrap_or_default());
    }

    pub async fn get(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.address);
        let response = http().get(url).send().await.expect("the stand-in answers");
        response.json().await.expect("the stand-in answers in JSON")
    }

    /// Returns how often an order was executed.
    pub async fn executions(&self, order: &str) -> u64 {
        self.get("/standin/executions").await[order].as_u64().unwrap_or(0)
    }
}

/// A host and its addresses.
pub struct TestHost {
    pub name: String,
    pub process: TestProcess,
    pub callers: String,
    pub operators: String,
}

impl TestHost {
    pub async fn status(&self) -> Option<HostStatus> {
        let url = format!("http://{}/v1/status", self.operators);
        http().get(url).send().await.ok()?.json().await.ok()
    }

    pub async fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.operators);
        http().get(url).send().await.expect("metrics").text().await.expect("metrics")
    }

    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.operators);
        http().get(url).send().await.is_ok_and(|response| response.status() == 200)
    }

    pub async fn wait_ready(&self) {
        wait_until("the host is ready", async || self.is_ready().await).await;
    }
}

/// A whole small fleet.
pub struct TestFleet {
    pub platform: Standin,
    pub engines: Vec<Standin>,
    pub service: Standin,
    pub hosts: Vec<TestHost>,
    pub folder: PathBuf,
    pub key: String,
    pub host_settings: Value,
    started: usize,
}

/// Sizes of a fleet.
pub struct FleetShape {
    pub hosts: usize,
    pub engines: usize,
    pub engine_arguments: Vec<&'static str>,
    pub host_settings: Value,
}

impl Default for FleetShape {
    fn default() -> FleetShape {
        FleetShape {
            hosts: 3,
            engines: 2,
            engine_arguments: vec!["--models", "sage", "--token-ms", "2"],
            host_settings: json!({}),
        }
    }
}

impl TestFleet {
    /// Writes settings of `skylarkctl` that name the first hosts, and returns
    /// their path; `wait_ms` is how long it waits for them.
    pub fn write_client_settings(&self, hosts: usize, wait_ms: u64) -> String {
        let hosts: Vec<&String> =
            self.hosts.iter().take(hosts).map(|host| &host.operators).collect();
        let settings = json!({
            "platform": format!("http://{}", self.platform.address),
            "hosts": hosts,
            "author": "test",
            "key_secret_file": self.folder.join("key-secret"),
            "wait_ms": wait_ms,
        });
        let path = self.folder.join("ctl.jsonc");
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        path.to_str().expect("text").to_owned()
    }

    /// Starts a fleet, accepts its configuration and waits until it serves.
    pub async fn start(shape: FleetShape) -> TestFleet {
        let fleet = TestFleet::start_unserved(shape).await;
        fleet.wait_served().await;
        fleet
    }

    /// Starts a fleet and waits until its hosts are ready.
    pub async fn start_unserved(shape: FleetShape) -> TestFleet {
        let folder = std::env::temp_dir().join(format!(
            "skylarkgw-test-{}-{}",
            std::process::id(),
            FLEETS.fetch_add(1, Ordering::Relaxed)
        ));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        std::fs::write(folder.join("key-secret"), KEY_SECRET).expect("the secret can be written");
        let platform = Standin::start("standin-platform", &[]);
        let engines = (0..shape.engines)
            .map(|_| Standin::start("standin-engine", &shape.engine_arguments))
            .collect();
        let service = Standin::start("standin-service", &[]);
        let issued = issue_key(&KeyHasher::new(KEY_SECRET)).expect("randomness");
        let mut fleet = TestFleet {
            platform,
            engines,
            service,
            hosts: Vec::new(),
            folder,
            key: issued.key.clone(),
            host_settings: shape.host_settings,
            started: 0,
        };
        let configuration = fleet.configuration(&issued.hash);
        fleet
            .accept(move |current| {
                let revision = current.revision;
                *current = configuration.clone();
                current.revision = revision;
            })
            .await;
        for _ in 0..shape.hosts {
            let host = fleet.start_host();
            fleet.hosts.push(host);
        }
        for host in &fleet.hosts {
            host.wait_ready().await;
        }
        fleet
    }

    fn configuration(&self, hash: &str) -> FleetConfiguration {
        let mut endpoints = serde_json::Map::new();
        for (number, engine) in self.engines.iter().enumerate() {
            endpoints.insert(
                format!("engine-{number}"),
                json!({"address": engine.address, "data_centre": "muscat-a", "kind": "engine"}),
            );
        }
        endpoints.insert(
            "stock".to_owned(),
            json!({"address": self.service.address, "data_centre": "muscat-a", "kind": "service"}),
        );
        let idempotent = json!([{"method": "GET", "path": "/orders"}]);
        serde_json::from_value(json!({
            "models": {"sage": {"version": "1", "memory_mb": 1000}},
            "adapters": {"sage-grit": {"base": "sage"}},
            "workspaces": {"shop": {"rate": 1_000_000, "burst": 1_000_000}},
            "keys": {hash: {"workspace": "shop"}},
            "endpoints": endpoints,
            "routes": {
                "stock": {"endpoints": ["stock"], "idempotent": idempotent},
                "public": {"endpoints": ["stock"], "open": true,
                    "idempotent": [{"method": "GET", "path": "/"}]},
            },
        }))
        .expect("the configuration fits its type")
    }

    /// Starts one more host under a new name.
    pub fn start_host(&mut self) -> TestHost {
        self.started += 1;
        let name = format!("host-{:02}", self.started);
        let mut settings = json!({
            "host": name,
            "data_centre": "muscat-a",
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "platform": format!("http://{}", self.platform.address),
            "key_secret_file": self.folder.join("key-secret"),
            "drain_notice_ms": 100,
            "seed": self.started,
        });
        let extra = self.host_settings.as_object().cloned().unwrap_or_default();
        settings.as_object_mut().expect("settings are an object").extend(extra);
        let path = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        let path = path.to_str().expect("the path is text");
        let process = TestProcess::start("skylarkd", &["--settings", path]);
        let addresses = process.wait_line(|line| {
            let line: Value = serde_json::from_str(line).ok()?;
            (line["payload"] == "listening").then(|| line["kv"].clone())
        });
        let address = |field: &str| addresses[field].as_str().expect("an address").to_owned();
        let (callers, operators) = (address("callers"), address("operators"));
        TestHost { name, process, callers, operators }
    }

    pub fn platform_client(&self) -> PlatformClient {
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        let url = format!("http://{}", self.platform.address);
        PlatformClient::new(&url, metrics).expect("a client")
    }

    /// Accepts a change of the configuration and returns its revision.
    pub async fn accept(&self, apply: impl Fn(&mut FleetConfiguration)) -> u64 {
        let platform = self.platform_client();
        let (_, head) =
            skylarkgw::operator::read_head(&platform).await.expect("the head can be read");
        let request = ChangeRequest {
            id: format!("test-{}", head.configuration.revision).into(),
            author: "test".into(),
            summary: "test".into(),
        };
        let accepted = accept_change(&platform, &request, head.configuration.revision, apply).await;
        accepted.expect("the change is accepted").revision
    }

    /// Waits until every host has a revision in force.
    pub async fn wait_revision(&self, revision: u64) {
        for host in &self.hosts {
            wait_until("the revision is in force", async || {
                host.status().await.is_some_and(|status| status.revision >= revision)
            })
            .await;
        }
    }

    /// Waits until a completion is answered at every host.
    pub async fn wait_served(&self) {
        for host in &self.hosts {
            wait_until("the host answers", async || {
                self.chat(host, "are you there", 1).await.status() == 200
            })
            .await;
        }
    }

    pub async fn chat(&self, host: &TestHost, prompt: &str, tokens: u64) -> reqwest::Response {
        self.chat_request(host, prompt, tokens, false).send().await.expect("the host answers")
    }

    pub fn chat_request(
        &self,
        host: &TestHost,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> reqwest::RequestBuilder {
        http()
            .post(format!("http://{}/v1/chat/completions", host.callers))
            .bearer_auth(&self.key)
            .json(&json!({
                "model": "sage",
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": tokens,
                "stream": stream,
            }))
    }

    pub fn order_request(&self, host: &TestHost, order: &str) -> reqwest::RequestBuilder {
        http()
            .post(format!("http://{}/stock/orders", host.callers))
            .bearer_auth(&self.key)
            .json(&json!({"order": order}))
    }
}

/// Returns a client that neither pools nor repeats.
pub fn http() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .timeout(PATIENCE)
        .retry(reqwest::retry::never())
        .build()
        .expect("a client")
}

/// Returns the prompt as an engine gets it.
pub fn flattened(prompt: &str) -> String {
    format!("<|user|>{prompt}\n")
}

/// Returns the text of a streamed chat answer, and whether it ended whole.
pub fn streamed_text(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).expect("a chunk is JSON");
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
    }
    (text, done)
}

/// Waits until a condition holds; fails after [`PATIENCE`].
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < PATIENCE, "never happened: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
