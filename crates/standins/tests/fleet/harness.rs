//! Starts a fleet of real processes on free ports and kills them when the test
//! ends.

use std::io::{BufRead, BufReader};
use std::net::Ipv4Addr;
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

/// Longest wait for an event, far above what a heavily loaded machine needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Secret with which all hosts of a test hash API keys.
pub const KEY_SECRET: &str = "a secret that is used in tests only";

/// Number of fleets that this process has started, which keeps their folders apart.
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// A child process that is killed on drop and whose standard output is
/// collected.
pub struct TestProcess {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Thread that collects the output until the process ends.
    reader: Option<std::thread::JoinHandle<()>>,
}

impl TestProcess {
    /// Starts a program that this Cargo workspace has built.
    ///
    /// # Panics
    ///
    /// Panics if the program has not been built.
    pub fn start(program: &str, arguments: &[&str]) -> TestProcess {
        let mut child = Command::new(program_path(program))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| {
                panic!("cannot start {program}: {error}; build the workspace first")
            });
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = child.stdout.take().expect("standard output is piped");
        let collected = lines.clone();
        let reader = std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                collected.lock().expect("no thread panics while it holds the lock").push(line);
            }
        });
        TestProcess { child, lines, reader: Some(reader) }
    }

    /// Returns the standard output of the process so far.
    pub fn output(&self) -> String {
        self.lines.lock().expect("no thread panics while it holds the lock").join("\n")
    }

    /// Waits for the first line of output for which `extract` returns a value,
    /// and returns that value.
    ///
    /// # Panics
    ///
    /// Panics if no such line is printed within [`WAIT_TIMEOUT`].
    pub fn wait_line<T>(&self, extract: impl Fn(&str) -> Option<T>) -> T {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            let found = self
                .lines
                .lock()
                .expect("no thread panics while it holds the lock")
                .iter()
                .find_map(|line| extract(line));
            if let Some(found) = found {
                return found;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("no line of the output matched in time; the output was:\n{}", self.output());
    }

    /// Sends a signal, named without the `SIG` prefix, to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status()
            .expect("the kill command can be run");
        assert!(status.success());
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits by itself, with its output collected, and returns
    /// its exit status.
    ///
    /// # Panics
    ///
    /// Panics if the process still runs after [`WAIT_TIMEOUT`].
    pub async fn wait_exit(&mut self) -> std::process::ExitStatus {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if let Some(status) =
                self.child.try_wait().expect("the status of the child process can be read")
            {
                // The last lines may still be on their way.
                if let Some(reader) = self.reader.take() {
                    reader.join().expect("the thread that collects the output does not panic");
                }
                return status;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the process did not exit in time");
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address that depends on the process and on `number`.
///
/// A test kills its service. On an address that tests share, a server of another test
/// could then get the port and answer in its place.
fn loopback_address(number: u32) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + (number % 250) as u8, high, low)
}

/// Returns the path of a program, which Cargo puts beside the stand-in engine.
fn program_path(program: &str) -> PathBuf {
    let engine = Path::new(env!("CARGO_BIN_EXE_standin-engine"));
    engine.parent().expect("the path of the program has a parent folder").join(program)
}

/// A running stand-in for an engine, a service or the platform.
pub struct Standin {
    pub process: TestProcess,
    /// Address that the stand-in listens on.
    pub address: String,
}

impl Standin {
    /// Starts a stand-in and waits until it listens.
    pub fn start(program: &str, arguments: &[&str]) -> Standin {
        let process = TestProcess::start(program, arguments);
        let address = process.wait_line(|line| line.strip_prefix("listening ").map(str::to_owned));
        Standin { process, address }
    }

    /// Replaces the fault plan of the stand-in.
    pub async fn set_faults(&self, plan: Value) {
        let response = new_http_client()
            .post(format!("http://{}/standin/faults", self.address))
            .json(&plan)
            .send()
            .await
            .expect("the stand-in responds");
        assert_eq!(response.status(), 200, "{}", response.text().await.unwrap_or_default());
    }

    /// Fetches a path of the stand-in and parses the response as JSON.
    pub async fn get(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.address);
        let response = new_http_client().get(url).send().await.expect("the stand-in responds");
        response.json().await.expect("the stand-in responds in JSON")
    }

    /// Returns how many times the stand-in service has executed an order.
    pub async fn count_executions(&self, order: &str) -> u64 {
        self.get("/standin/executions").await[order].as_u64().unwrap_or(0)
    }
}

/// A running gateway host.
pub struct TestHost {
    pub name: String,
    pub process: TestProcess,
    /// Address that the host serves clients on.
    pub client_address: String,
    /// Address that the host serves operators, metrics and readiness checks on.
    pub operator_address: String,
}

impl TestHost {
    /// Returns the status of the host, or `None` if it does not respond.
    pub async fn status(&self) -> Option<HostStatus> {
        let url = format!("http://{}/v1/status", self.operator_address);
        new_http_client().get(url).send().await.ok()?.json().await.ok()
    }

    /// Returns the metrics of the host in the text format.
    pub async fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.operator_address);
        new_http_client()
            .get(url)
            .send()
            .await
            .expect("the host responds")
            .text()
            .await
            .expect("the metrics are text")
    }

    /// Returns whether the readiness check of the host succeeds.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.operator_address);
        new_http_client().get(url).send().await.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until the readiness check of the host succeeds.
    pub async fn wait_ready(&self) {
        wait_until("the host is ready", async || self.is_ready().await).await;
    }
}

/// A running fleet: platform, engines, one service and hosts.
pub struct TestFleet {
    pub platform: Standin,
    pub engines: Vec<Standin>,
    pub service: Standin,
    pub hosts: Vec<TestHost>,
    /// Folder for settings and secrets.
    pub folder: PathBuf,
    /// API key of the workspace `shop`.
    pub key: String,
    /// Settings that are added to those of each host.
    pub host_settings: Value,
    /// Number of hosts that have been started, from which the next one gets its
    /// name and its seed.
    started_hosts: usize,
}

/// Size and settings of a fleet to start.
pub struct FleetOptions {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Command line arguments of each engine.
    pub engine_arguments: Vec<&'static str>,
    /// Settings that are added to those of each host.
    pub host_settings: Value,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            hosts: 3,
            engines: 2,
            engine_arguments: vec!["--models", "sage", "--token-ms", "2"],
            host_settings: json!({}),
        }
    }
}

impl TestFleet {
    /// Writes settings for `skylarkctl` that list the first `hosts` hosts, and
    /// returns their path.
    ///
    /// `wait_ms` is the longest time, in milliseconds, that `skylarkctl` waits
    /// for a change to be in force.
    pub fn write_skylarkctl_settings(&self, hosts: usize, wait_ms: u64) -> String {
        let hosts: Vec<&String> =
            self.hosts.iter().take(hosts).map(|host| &host.operator_address).collect();
        let settings = json!({
            "platform": format!("http://{}", self.platform.address),
            "hosts": hosts,
            "author": "test",
            "key_secret_file": self.folder.join("key-secret"),
            "wait_ms": wait_ms,
        });
        let path = self.folder.join("ctl.jsonc");
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        path.to_str().expect("the path is text").to_owned()
    }

    /// Starts a fleet and waits until every host answers completions.
    pub async fn start(options: FleetOptions) -> TestFleet {
        let fleet = TestFleet::start_until_ready(options).await;
        fleet.wait_until_serving().await;
        fleet
    }

    /// Starts a fleet, writes its configuration to the platform and waits until
    /// the readiness checks of its hosts succeed, without sending completions.
    pub async fn start_until_ready(options: FleetOptions) -> TestFleet {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("skylarkgw-test-{}-{}", std::process::id(), number));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        std::fs::write(folder.join("key-secret"), KEY_SECRET).expect("the secret can be written");
        let platform = Standin::start("standin-platform", &[]);
        let engines = (0..options.engines)
            .map(|_| Standin::start("standin-engine", &options.engine_arguments))
            .collect();
        let service_listen = format!("{}:0", loopback_address(number));
        let service = Standin::start("standin-service", &["--listen", &service_listen]);
        let issued = issue_key(&KeyHasher::new(KEY_SECRET)).expect("a key can be generated");
        let mut fleet = TestFleet {
            platform,
            engines,
            service,
            hosts: Vec::new(),
            folder,
            key: issued.key.clone(),
            host_settings: options.host_settings,
            started_hosts: 0,
        };
        let configuration = fleet.build_configuration(&issued.hash);
        fleet
            .change_configuration(move |current| {
                let revision = current.revision;
                *current = configuration.clone();
                current.revision = revision;
            })
            .await;
        for _ in 0..options.hosts {
            let host = fleet.start_host();
            fleet.hosts.push(host);
        }
        for host in &fleet.hosts {
            host.wait_ready().await;
        }
        fleet
    }

    /// Builds the first configuration, with the workspace `shop` and its API key,
    /// which is given by its hash.
    fn build_configuration(&self, key_hash: &str) -> FleetConfiguration {
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
            "keys": {key_hash: {"workspace": "shop"}},
            "endpoints": endpoints,
            "routes": {
                "stock": {"endpoints": ["stock"], "idempotent": idempotent},
                "public": {"endpoints": ["stock"], "open": true,
                    "idempotent": [{"method": "GET", "path": "/"}]},
            },
        }))
        .expect("the configuration fits its type")
    }

    /// Starts one more host under a new name and waits until it listens.
    pub fn start_host(&mut self) -> TestHost {
        self.started_hosts += 1;
        let name = format!("host-{:02}", self.started_hosts);
        let mut settings = json!({
            "host": name,
            "data_centre": "muscat-a",
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "platform": format!("http://{}", self.platform.address),
            "key_secret_file": self.folder.join("key-secret"),
            "drain_notice_ms": 100,
            "seed": self.started_hosts,
        });
        let added = self.host_settings.as_object().cloned().unwrap_or_default();
        settings.as_object_mut().expect("settings are an object").extend(added);
        let path = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        let path = path.to_str().expect("the path is text");
        let process = TestProcess::start("skylarkd", &["--settings", path]);
        let addresses = process.wait_line(|line| {
            let line: Value = serde_json::from_str(line).ok()?;
            (line["payload"] == "listening").then(|| line["kv"].clone())
        });
        let read_address = |field: &str| addresses[field].as_str().expect("an address").to_owned();
        let (client_address, operator_address) =
            (read_address("callers"), read_address("operators"));
        TestHost { name, process, client_address, operator_address }
    }

    /// Returns a client for the stand-in platform.
    pub fn platform_client(&self) -> PlatformClient {
        let metrics = Arc::new(Metrics::new().expect("the metrics can be registered"));
        let url = format!("http://{}", self.platform.address);
        PlatformClient::new(&url, metrics).expect("a client")
    }

    /// Applies a change to the latest configuration, has it accepted and returns
    /// its revision.
    pub async fn change_configuration(&self, apply: impl Fn(&mut FleetConfiguration)) -> u64 {
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

    /// Waits until every host has this or a later revision in force.
    pub async fn wait_revision(&self, revision: u64) {
        for host in &self.hosts {
            wait_until("the revision is in force", async || {
                host.status().await.is_some_and(|status| status.revision >= revision)
            })
            .await;
        }
    }

    /// Waits until every host answers a completion.
    pub async fn wait_until_serving(&self) {
        for host in &self.hosts {
            wait_until("the host answers a completion", async || {
                self.send_chat(host, "are you there", 1).await.status() == 200
            })
            .await;
        }
    }

    /// Sends a chat completion for at most `tokens` tokens and returns the
    /// response.
    pub async fn send_chat(&self, host: &TestHost, prompt: &str, tokens: u64) -> reqwest::Response {
        self.build_chat_request(host, prompt, tokens, false)
            .send()
            .await
            .expect("the host responds")
    }

    /// Builds a request for a chat completion, which is streamed if `stream` is
    /// set.
    pub fn build_chat_request(
        &self,
        host: &TestHost,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> reqwest::RequestBuilder {
        new_http_client()
            .post(format!("http://{}/v1/chat/completions", host.client_address))
            .bearer_auth(&self.key)
            .json(&json!({
                "model": "sage",
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": tokens,
                "stream": stream,
            }))
    }

    /// Builds a request that places an order at the service.
    pub fn build_order_request(&self, host: &TestHost, order: &str) -> reqwest::RequestBuilder {
        new_http_client()
            .post(format!("http://{}/stock/orders", host.client_address))
            .bearer_auth(&self.key)
            .json(&json!({"order": order}))
    }
}

/// Builds an HTTP client that keeps no idle connections and does not retry.
pub fn new_http_client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(0)
        .timeout(WAIT_TIMEOUT)
        .retry(reqwest::retry::never())
        .build()
        .expect("a client")
}

/// Returns the text that an engine receives for a chat with one user message.
pub fn flatten_prompt(prompt: &str) -> String {
    format!("<|user|>{prompt}\n")
}

/// Returns the text of a streamed chat completion, and whether the stream ended
/// with `[DONE]`.
pub fn parse_chat_stream(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut is_complete = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            is_complete = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).expect("a chunk is JSON");
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
    }
    (text, is_complete)
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `description` if the condition does not hold within
/// [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "condition not met in time: {description}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
