//! Keeps the control thread and the platform in step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::sync::{Mutex, mpsc};
use tokio::time::sleep;

use crate::configuration::{FleetConfiguration, HeadDocument};
use crate::control::{ADMISSION_VALIDITY, ControlHandle, ControlOutput};
use crate::decision::host::{HostEffect, HostInput};
use crate::decision::membership::{CONTACT_WINDOW, MemberEntry};
use crate::decision::placement::{EngineOrder, OrderOutcome};
use crate::decision::shares::PlatformCall;
use crate::endpoint::EngineClient;
use crate::ids::{EndpointId, KeyHash, ModelName, ObjectVersion};
use crate::operator::{ChangeRequest, accept_change, read_head};
use crate::peer::PeerSender;
use crate::platform::{
    HEAD_OBJECT, HOSTS_PREFIX, PlatformClient, PlatformError, PlatformObject, SHARED_PREFIX,
    WITHDRAWN_OBJECT,
};
use crate::telemetry::Metrics;

/// Longest wait of one watch. An answer is dated by the start of its watch, so
/// two waits and the calls themselves fit into [`CONTACT_WINDOW`].
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);
const _: () = assert!(2 * WATCH_WAIT.as_millis() + 1_000 <= CONTACT_WINDOW.as_millis());
/// Time between two reads of the list of hosts.
pub const HOSTS_INTERVAL: Duration = Duration::from_secs(10);

/// Silence after which an entry of the list of hosts is deleted.
pub const SILENT_ENTRY_LIFE: Duration = Duration::from_secs(120);

const FIRST_HOSTS_INTERVAL: Duration = Duration::from_millis(300);
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
const IDLE_PAUSE: Duration = Duration::from_millis(1_000);
const STORE_ATTEMPTS: u32 = 4;

/// What the tasks of this module share.
#[derive(Clone, Debug)]
pub struct PlatformSync {
    /// The control thread.
    pub control: ControlHandle,
    /// The platform.
    pub platform: PlatformClient,
    /// Client of the engines, for orders.
    pub engines: EngineClient,
    /// This host's metrics.
    pub metrics: Arc<Metrics>,
}

impl PlatformSync {
    /// Watches the shared objects, or waits for its turn to.
    ///
    /// The first round reads everything, whoever watches, since a host that
    /// starts has to learn the highest revision.
    pub async fn watch_shared(self) {
        let mut position = 0;
        loop {
            let watches = self.control.watches().await.unwrap_or(false);
            if position > 0 && !watches {
                sleep(IDLE_PAUSE).await;
                continue;
            }
            let sent_at = self.control.now();
            match self.platform.watch(SHARED_PREFIX, position, WATCH_WAIT).await {
                Ok(list) => {
                    // A store that was restored may stand at a lower position.
                    position = list.position;
                    // Withdrawn keys go first: a host goes live on the
                    // configuration and must not bring one of them back.
                    let (withdrawn, others): (Vec<_>, Vec<_>) =
                        list.objects.iter().partition(|object| &*object.name == WITHDRAWN_OBJECT);
                    withdrawn.into_iter().chain(others).for_each(|object| self.take(object));
                    self.control.send(HostInput::PlatformAnswered { sent_at });
                    if position == 0 {
                        sleep(FAILURE_PAUSE).await;
                    }
                }
                Err(_) => {
                    position = 0;
                    sleep(jitter(FAILURE_PAUSE)).await;
                }
            }
        }
    }

    fn take(&self, object: &PlatformObject) {
        match &*object.name {
            HEAD_OBJECT => match serde_json::from_str::<HeadDocument>(&object.value) {
                Ok(head) => self
                    .control
                    .send(HostInput::PlatformConfiguration { configuration: head.configuration }),
                Err(_) => self.metrics.decode_failures.inc(),
            },
            WITHDRAWN_OBJECT => match serde_json::from_str::<Vec<KeyHash>>(&object.value) {
                Ok(hashes) => self.control.send(HostInput::PlatformWithdrawn { hashes }),
                Err(_) => self.metrics.decode_failures.inc(),
            },
            _ => {}
        }
    }

    /// Registers this host and reads the list of hosts, again and again.
    pub async fn follow_hosts(self) {
        let mut rounds = 0_u32;
        let mut silent = SilentEntries::default();
        loop {
            let own = self.control.snapshot().members.first().cloned();
            if let Some(own) = own {
                let _ = self.register(&own).await;
            }
            if let Ok(list) = self.platform.list(HOSTS_PREFIX).await {
                let (gone, listed) = silent.split(list.objects, &self.control.snapshot().members);
                for object in gone {
                    let _ = self.platform.delete(&object.name, object.version).await;
                }
                let entries = listed
                    .iter()
                    .filter_map(|object| serde_json::from_str::<MemberEntry>(&object.value).ok())
                    .collect();
                self.control.send(HostInput::PlatformHosts { entries });
            }
            rounds = rounds.saturating_add(1);
            let interval = if rounds < 20 { FIRST_HOSTS_INTERVAL } else { HOSTS_INTERVAL };
            sleep(jitter(interval)).await;
        }
    }

    /// Writes this host's entry if the platform has none of this life.
    async fn register(&self, own: &MemberEntry) -> Result<(), PlatformError> {
        let name = format!("{HOSTS_PREFIX}{}", own.host);
        let known = self.platform.read(&name).await?;
        let version = known.as_ref().map_or(0, |object| object.version);
        let current = known
            .and_then(|object| serde_json::from_str::<MemberEntry>(&object.value).ok())
            .is_some_and(|entry| entry.incarnation >= own.incarnation);
        if current {
            return Ok(());
        }
        let value = serde_json::to_string(own).map_err(PlatformError::Garbage)?;
        self.platform.write(&name, version, &value).await.map(|_| ())
    }

    /// Carries what the control thread wants done until it ends.
    pub async fn carry_outputs(
        self,
        mut peers: PeerSender,
        outputs: Arc<Mutex<mpsc::UnboundedReceiver<ControlOutput>>>,
    ) {
        let mut outputs = outputs.lock().await;
        let (store, stored) = mpsc::channel::<Vec<KeyHash>>(1);
        tokio::spawn(self.clone().store_withdrawn(stored));
        while let Some(ControlOutput { effect, decided_at }) = outputs.recv().await {
            let sync = self.clone();
            match effect {
                HostEffect::Send { address, message, .. } => peers.send(address, message),
                HostEffect::ShareCall(call) => {
                    tokio::spawn(async move {
                        let outcome = sync.platform.perform(call).await;
                        sync.control.send(HostInput::ShareCallDone { outcome });
                    });
                }
                HostEffect::PlacementCall(call) => {
                    tokio::spawn(async move { sync.call_for_placement(call).await });
                }
                HostEffect::Order { engine, address, order } => {
                    tokio::spawn(async move {
                        sync.send_order(engine, &address, order, decided_at).await;
                    });
                }
                HostEffect::SwitchVersions(models) => {
                    tokio::spawn(async move { sync.switch_versions(&models).await });
                }
                HostEffect::StoreWithdrawn(hashes) => {
                    // A full channel means that a store is under way; the
                    // machine asks again for as long as it is needed.
                    let _ = store.try_send(hashes);
                }
                // The control thread answers these itself.
                HostEffect::Admitted { .. } | HostEffect::Refused { .. } => {}
            }
        }
    }

    async fn call_for_placement(&self, call: PlatformCall) {
        let name = match &call {
            PlatformCall::Read { name } | PlatformCall::Write { name, .. } => name.clone(),
        };
        let outcome = self.platform.perform(call).await;
        self.control.send(HostInput::PlacementCallDone { name, outcome });
    }

    /// Sends an order unless it was decided too long ago, as before a pause.
    async fn send_order(
        &self,
        engine: EndpointId,
        address: &str,
        order: EngineOrder,
        decided_at: Duration,
    ) {
        let stale = self.control.now().saturating_sub(decided_at) > ADMISSION_VALIDITY;
        let outcome = match stale {
            true => OrderOutcome::Refused,
            false => self.engines.send_order(address, &order).await,
        };
        self.control.send(HostInput::OrderDone { engine, number: order.number, outcome });
    }

    /// Accepts the next version of models as the one in force.
    ///
    /// The change is named after its effect, so that two hosts that both try
    /// make it once.
    async fn switch_versions(&self, models: &[ModelName]) {
        let Ok((_, head)) = read_head(&self.platform).await else { return };
        for model in models {
            let spec = head.configuration.models.get(model);
            let Some(next) = spec.and_then(|spec| spec.next.clone()) else { continue };
            let revision = head.configuration.revision;
            let request = ChangeRequest {
                id: format!("switch-{model}-{next}-{revision}").into(),
                author: "skylarkgw".into(),
                summary: format!("switch model {model} to version {next}").into(),
            };
            let apply = |configuration: &mut FleetConfiguration| {
                if let Some(spec) = configuration.models.get_mut(model)
                    && spec.next.as_ref() == Some(&next)
                {
                    spec.version = next.clone();
                    spec.next = None;
                }
            };
            // One that was overtaken is tried again on what came first.
            if accept_change(&self.platform, &request, revision, apply).await.is_ok() {
                return;
            }
        }
    }

    async fn store_withdrawn(self, mut requests: mpsc::Receiver<Vec<KeyHash>>) {
        while let Some(hashes) = requests.recv().await {
            let configuration = self.control.snapshot().configuration.clone();
            let merged = merge_withdrawn(&self.platform, &configuration, &hashes).await;
            if let Ok(stored) = merged {
                self.control.send(HostInput::PlatformWithdrawn { hashes: stored });
            }
            sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Entries of the platform's list of hosts that no heartbeat speaks for.
#[derive(Debug, Default)]
struct SilentEntries {
    since: BTreeMap<(Arc<str>, ObjectVersion), Instant>,
}

impl SilentEntries {
    /// Splits a list into entries that were silent for too long and the others.
    ///
    /// A host whose entry is deleted by mistake writes it anew.
    fn split(
        &mut self,
        objects: Vec<PlatformObject>,
        members: &[MemberEntry],
    ) -> (Vec<PlatformObject>, Vec<PlatformObject>) {
        let live: BTreeSet<String> =
            members.iter().map(|entry| format!("{HOSTS_PREFIX}{}", entry.host)).collect();
        let known = std::mem::take(&mut self.since);
        for object in objects.iter().filter(|object| !live.contains(&*object.name)) {
            let key = (object.name.clone(), object.version);
            let since = known.get(&key).copied().unwrap_or_else(Instant::now);
            self.since.insert(key, since);
        }
        let is_gone = |object: &PlatformObject| {
            let since = self.since.get(&(object.name.clone(), object.version));
            since.is_some_and(|since| since.elapsed() > SILENT_ENTRY_LIFE)
        };
        objects.into_iter().partition(is_gone)
    }
}

/// Adds withdrawn keys to those that the platform keeps, and returns them all.
///
/// Keys that the configuration no longer lists are dropped: the head that
/// dropped them was written before, so whoever reads both refuses them.
///
/// # Errors
///
/// [`PlatformError`] if the platform did not confirm them.
pub async fn merge_withdrawn(
    platform: &PlatformClient,
    configuration: &FleetConfiguration,
    hashes: &[KeyHash],
) -> Result<Vec<KeyHash>, PlatformError> {
    for _ in 0..STORE_ATTEMPTS {
        let known = platform.read(WITHDRAWN_OBJECT).await?;
        let version = known.as_ref().map_or(0, |object| object.version);
        let mut set: BTreeSet<KeyHash> = match &known {
            Some(object) => serde_json::from_str(&object.value).map_err(PlatformError::Garbage)?,
            None => BTreeSet::new(),
        };
        let listed = |hash: &KeyHash| configuration.keys.contains_key(hash);
        if hashes.iter().all(|hash| set.contains(hash)) {
            return Ok(set.into_iter().collect());
        }
        set.retain(listed);
        set.extend(hashes.iter().cloned());
        let stored: Vec<KeyHash> = set.into_iter().collect();
        let value = serde_json::to_string(&stored).map_err(PlatformError::Garbage)?;
        if platform.write(WITHDRAWN_OBJECT, version, &value).await?.is_some() {
            return Ok(stored);
        }
    }
    Err(PlatformError::Status(409))
}

/// Spreads pauses by a fifth, so that hosts do not call in step.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.9..1.1))
}
