//! Tasks that synchronize the control thread with the platform, the engines and
//! the other hosts.

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

/// Longest duration of a watch request.
///
/// A response counts as contact at the time its request was sent. Two watch
/// durations and the time of the calls must therefore fit into [`CONTACT_WINDOW`].
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
const _: () = assert!(2 * WATCH_TIMEOUT.as_millis() + 1_000 <= CONTACT_WINDOW.as_millis());
/// Interval between two reads of the host list.
pub const HOST_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Time without heartbeats after which an entry is deleted from the host list.
pub const STALE_ENTRY_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval between the first 20 reads of the host list.
const INITIAL_HOST_LIST_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before a failed call is repeated, and between two writes of withdrawn keys.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between two checks of whether this host has become a watcher.
const IDLE_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum number of attempts to merge keys into the stored set of withdrawn keys,
/// each of which fails if the set was changed concurrently.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// The shared context of the synchronization tasks.
#[derive(Clone, Debug)]
pub struct PlatformSync {
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Client that sends orders to engines.
    pub engines: EngineClient,
    /// Metrics of this host.
    pub metrics: Arc<Metrics>,
}

impl PlatformSync {
    /// Watches the shared objects while this host is one of the watchers.
    ///
    /// The first request reads all objects even if this host is not a watcher,
    /// since a starting host has to obtain the latest revision.
    pub async fn watch_shared_objects(self) {
        let mut position = 0;
        loop {
            let should_watch = self.control.should_watch().await.unwrap_or(false);
            if position > 0 && !should_watch {
                sleep(IDLE_DELAY).await;
                continue;
            }
            let sent_at = self.control.now();
            match self.platform.watch(SHARED_PREFIX, position, WATCH_TIMEOUT).await {
                Ok(list) => {
                    // The position can decrease if the store was restored from a backup.
                    position = list.position;
                    // Applies withdrawn keys first: a host goes live when it receives
                    // the configuration, and must not accept a withdrawn key again.
                    let (withdrawn, others): (Vec<_>, Vec<_>) =
                        list.objects.iter().partition(|object| &*object.name == WITHDRAWN_OBJECT);
                    withdrawn
                        .into_iter()
                        .chain(others)
                        .for_each(|object| self.handle_object(object));
                    self.control.send(HostInput::PlatformAnswered { sent_at });
                    if position == 0 {
                        sleep(RETRY_DELAY).await;
                    }
                }
                Err(_) => {
                    position = 0;
                    sleep(add_jitter(RETRY_DELAY)).await;
                }
            }
        }
    }

    fn handle_object(&self, object: &PlatformObject) {
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

    /// Periodically registers this host, reads the host list and deletes stale
    /// entries.
    pub async fn maintain_host_list(self) {
        let mut rounds = 0_u32;
        let mut stale_entries = StaleEntryTracker::default();
        loop {
            let own_entry = self.control.snapshot().members.first().cloned();
            if let Some(own_entry) = own_entry {
                let _ = self.register(&own_entry).await;
            }
            if let Ok(list) = self.platform.list(HOSTS_PREFIX).await {
                let (stale, listed) =
                    stale_entries.partition(list.objects, &self.control.snapshot().members);
                for object in stale {
                    let _ = self.platform.delete(&object.name, object.version).await;
                }
                let entries = listed
                    .iter()
                    .filter_map(|object| serde_json::from_str::<MemberEntry>(&object.value).ok())
                    .collect();
                self.control.send(HostInput::PlatformHosts { entries });
            }
            rounds = rounds.saturating_add(1);
            let interval =
                if rounds < 20 { INITIAL_HOST_LIST_INTERVAL } else { HOST_LIST_INTERVAL };
            sleep(add_jitter(interval)).await;
        }
    }

    /// Writes this host's entry unless the list has one of this or a later
    /// incarnation.
    async fn register(&self, own_entry: &MemberEntry) -> Result<(), PlatformError> {
        let name = format!("{HOSTS_PREFIX}{}", own_entry.host);
        let known = self.platform.read(&name).await?;
        let version = known.as_ref().map_or(0, |object| object.version);
        let is_current = known
            .and_then(|object| serde_json::from_str::<MemberEntry>(&object.value).ok())
            .is_some_and(|entry| entry.incarnation >= own_entry.incarnation);
        if is_current {
            return Ok(());
        }
        let value = serde_json::to_string(own_entry).map_err(PlatformError::InvalidJson)?;
        self.platform.write(&name, version, &value).await.map(|_| ())
    }

    /// Performs the effects of the control thread until the thread ends.
    pub async fn perform_effects(
        self,
        mut peers: PeerSender,
        outputs: Arc<Mutex<mpsc::UnboundedReceiver<ControlOutput>>>,
    ) {
        let mut outputs = outputs.lock().await;
        let (withdrawn_sender, withdrawn_receiver) = mpsc::channel::<Vec<KeyHash>>(1);
        tokio::spawn(self.clone().write_withdrawn_keys(withdrawn_receiver));
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
                    tokio::spawn(async move { sync.perform_placement_call(call).await });
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
                    // A full channel means that a write is in progress. The state
                    // machine repeats the effect until the keys are stored.
                    let _ = withdrawn_sender.try_send(hashes);
                }
                // The control thread replies to these itself.
                HostEffect::Admitted { .. } | HostEffect::Refused { .. } => {}
            }
        }
    }

    async fn perform_placement_call(&self, call: PlatformCall) {
        let name = match &call {
            PlatformCall::Read { name } | PlatformCall::Write { name, .. } => name.clone(),
        };
        let outcome = self.platform.perform(call).await;
        self.control.send(HostInput::PlacementCallDone { name, outcome });
    }

    /// Sends an order to an engine, unless the decision is too old to act on, for
    /// example after the process was paused.
    async fn send_order(
        &self,
        engine: EndpointId,
        address: &str,
        order: EngineOrder,
        decided_at: Duration,
    ) {
        let is_stale = self.control.now().saturating_sub(decided_at) > ADMISSION_VALIDITY;
        let outcome = match is_stale {
            true => OrderOutcome::Refused,
            false => self.engines.send_order(address, &order).await,
        };
        self.control.send(HostInput::OrderDone { engine, number: order.number, outcome });
    }

    /// Submits a change that puts the next version of a model in force, for the
    /// first of `models` for which it is accepted.
    ///
    /// The identifier of the change is derived from its effect, so that it is
    /// applied once even if two hosts submit it.
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
            // After a conflict, the state machine repeats the effect on the newer
            // revision.
            if accept_change(&self.platform, &request, revision, apply).await.is_ok() {
                return;
            }
        }
    }

    async fn write_withdrawn_keys(self, mut requests: mpsc::Receiver<Vec<KeyHash>>) {
        while let Some(hashes) = requests.recv().await {
            let configuration = self.control.snapshot().configuration.clone();
            let merged = merge_withdrawn_keys(&self.platform, &configuration, &hashes).await;
            if let Ok(stored) = merged {
                self.control.send(HostInput::PlatformWithdrawn { hashes: stored });
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Tracks entries of the platform's host list for which no heartbeats arrive.
#[derive(Debug, Default)]
struct StaleEntryTracker {
    /// Time since which each entry, by name and version, has had no live member.
    missing_since: BTreeMap<(Arc<str>, ObjectVersion), Instant>,
}

impl StaleEntryTracker {
    /// Partitions a list into stale entries and all others.
    ///
    /// An entry is stale after [`STALE_ENTRY_TIMEOUT`] without a heartbeat. A host
    /// whose entry is deleted by mistake registers again.
    fn partition(
        &mut self,
        objects: Vec<PlatformObject>,
        members: &[MemberEntry],
    ) -> (Vec<PlatformObject>, Vec<PlatformObject>) {
        let live: BTreeSet<String> =
            members.iter().map(|entry| format!("{HOSTS_PREFIX}{}", entry.host)).collect();
        let previous = std::mem::take(&mut self.missing_since);
        for object in objects.iter().filter(|object| !live.contains(&*object.name)) {
            let key = (object.name.clone(), object.version);
            let since = previous.get(&key).copied().unwrap_or_else(Instant::now);
            self.missing_since.insert(key, since);
        }
        let is_stale = |object: &PlatformObject| {
            let since = self.missing_since.get(&(object.name.clone(), object.version));
            since.is_some_and(|since| since.elapsed() > STALE_ENTRY_TIMEOUT)
        };
        objects.into_iter().partition(is_stale)
    }
}

/// Adds keys to the withdrawn keys stored on the platform, and returns the stored
/// keys.
///
/// Stored keys that the configuration no longer declares are removed. The head
/// object without these keys was written before, so a host that reads both objects
/// refuses them.
///
/// # Errors
///
/// Returns [`PlatformError`] if the platform did not confirm the write.
pub async fn merge_withdrawn_keys(
    platform: &PlatformClient,
    configuration: &FleetConfiguration,
    hashes: &[KeyHash],
) -> Result<Vec<KeyHash>, PlatformError> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let known = platform.read(WITHDRAWN_OBJECT).await?;
        let version = known.as_ref().map_or(0, |object| object.version);
        let mut set: BTreeSet<KeyHash> = match &known {
            Some(object) => {
                serde_json::from_str(&object.value).map_err(PlatformError::InvalidJson)?
            }
            None => BTreeSet::new(),
        };
        let is_declared = |hash: &KeyHash| configuration.keys.contains_key(hash);
        if hashes.iter().all(|hash| set.contains(hash)) {
            return Ok(set.into_iter().collect());
        }
        set.retain(is_declared);
        set.extend(hashes.iter().cloned());
        let stored: Vec<KeyHash> = set.into_iter().collect();
        let value = serde_json::to_string(&stored).map_err(PlatformError::InvalidJson)?;
        if platform.write(WITHDRAWN_OBJECT, version, &value).await?.is_some() {
            return Ok(stored);
        }
    }
    Err(PlatformError::Status(409))
}

/// Varies a delay by up to 10 % in both directions, so that the calls of hosts do
/// not synchronize.
fn add_jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.9..1.1))
}
