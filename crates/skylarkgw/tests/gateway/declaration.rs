//! The declaration of a host that starts after the store was restored.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::decision::declaration_confirmation::DECLARATION_SETTLE_TIME;
use skylarkgw::decision::freshness::READY_MAX_AGE;
use skylarkgw::decision::store_order::StorePosition;
use skylarkgw::gateway::clock::time_since_boot;
use skylarkgw::gateway::control::follow_declarations;
use skylarkgw::gateway::declaration::{ClientLimits, FleetDeclaration};
use skylarkgw::gateway::peers::DeputyQuestion;
use skylarkgw::gateway::ports::{LeaseAnswer, LeaseRecord, StoreUpdate};
use skylarkgw::ids::StoreEra;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::standin::ControlHarness;

const ERA: StoreEra = 2;
/// Time in which a task processes what it received.
const TASK_TIME: Duration = Duration::from_millis(50);

fn declaration(revision: u64) -> FleetDeclaration {
    FleetDeclaration {
        revision,
        routes: Vec::new(),
        services: HashMap::new(),
        workspaces: None,
        limits: ClientLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(30),
        },
    }
}

/// A host that has read a lease record which was written in `holder_era`, in a store that is
/// in [`ERA`].
struct StartingHost {
    harness: ControlHarness,
    declarations: mpsc::Sender<StoreUpdate<Arc<FleetDeclaration>>>,
}

impl StartingHost {
    async fn start(holder_era: Option<StoreEra>) -> StartingHost {
        let mut harness = ControlHarness::start();
        let (declarations, updates) = mpsc::channel(1);
        tokio::spawn(follow_declarations(harness.control.clone(), updates));
        let record = LeaseRecord {
            holder: "edge-9".into(),
            incarnation: 1,
            address: "127.0.0.1:9".parse().expect("the address should be valid"),
            token: 5,
            era: holder_era,
            is_released: false,
            refused_parts: Vec::new(),
        };
        let answer = LeaseAnswer::Found {
            version: 40,
            era: Some(ERA),
            record: Some(record),
            is_written: false,
        };
        let call = harness.next_lease_call().await;
        call.reply.send(answer).expect("the lease task should wait for the answer");
        sleep(TASK_TIME).await;
        StartingHost { harness, declarations }
    }

    /// Sends a declaration that the store has just returned, and returns the age of the one
    /// in force with its revision.
    async fn receive(&self, revision: u64) -> (u64, Duration) {
        let update = StoreUpdate::Current {
            value: Arc::new(declaration(revision)),
            position: StorePosition { era: Some(ERA), revision: 50 },
            as_of: time_since_boot(),
        };
        self.declarations.send(update).await.expect("the declaration task should run");
        sleep(TASK_TIME).await;
        let answer = self.harness.control.answer_question(DeputyQuestion::default());
        (answer.age.revision, answer.age.declaration)
    }
}

/// Guards against withdrawn keys that are accepted: a host that started after the store had
/// lost the newest declaration took the one before it for the newest.
#[tokio::test]
async fn declaration_of_a_new_era_is_confirmed_once_it_is_settled() {
    let host = StartingHost::start(Some(ERA - 1)).await;
    let (revision, age) = host.receive(6).await;
    assert_eq!(revision, 6);
    assert!(age > READY_MAX_AGE, "{age:?}");
    sleep(DECLARATION_SETTLE_TIME).await;
    let (revision, age) = host.receive(6).await;
    assert_eq!(revision, 6);
    assert!(age < READY_MAX_AGE, "{age:?}");
}

/// Guards against withdrawn keys that are accepted: an older declaration confirmed the one
/// in force.
#[tokio::test]
async fn older_declaration_does_not_renew_the_one_in_force() {
    let host = StartingHost::start(Some(ERA)).await;
    let (_, first_age) = host.receive(7).await;
    assert!(first_age < READY_MAX_AGE, "a host that starts without a restore should be ready");
    sleep(TASK_TIME * 4).await;
    let (revision, age) = host.receive(6).await;
    assert_eq!(revision, 7);
    assert!(age >= TASK_TIME * 5, "{age:?}");
}
