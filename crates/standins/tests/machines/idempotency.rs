//! Tests of at-most-once execution: the state machines of several clients use
//! one record, with arbitrary interleavings and faults.

use std::sync::Arc;

use proptest::prelude::*;
use skylarkgw::configuration::FleetConfiguration;
use skylarkgw::decision::idempotency::{
    CallOutcome, KeyedCall, KeyedCallAction, KeyedCallResult, StoredAnswer,
};
use skylarkgw::decision::shares::{PlatformCall, PlatformOutcome};
use standins::network::SimulatedPlatform;

/// Fault in one step of one client.
#[derive(Clone, Copy, Debug)]
enum StepFault {
    NoFault,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// A call to the platform may take effect later. A call to the service is
    /// lost.
    Delayed,
    /// The call reports that it had no effect.
    NotRun,
    /// The host process that runs the client's state machine ends.
    Killed,
}

struct TestClient {
    machine: Option<(KeyedCall, KeyedCallAction)>,
    result: Option<KeyedCallResult>,
    /// Whether the service executed the call that this client sent.
    executed: bool,
    /// Number of executions by all clients when this client got its result.
    executions_at_result: u32,
}

struct KeyedCallRun {
    platform: SimulatedPlatform,
    delayed: Vec<PlatformCall>,
    clients: Vec<TestClient>,
    executions: u32,
}

fn answer() -> StoredAnswer {
    StoredAnswer { status: 201, content_type: "application/json".into(), body: Some("{}".into()) }
}

impl KeyedCallRun {
    fn new(clients: usize) -> KeyedCallRun {
        let clients = (0..clients).map(|number| {
            let attempt: Arc<str> = format!("attempt-{number}").into();
            let machine = Some(KeyedCall::start(attempt, "digest".into()));
            TestClient { machine, result: None, executed: false, executions_at_result: 0 }
        });
        KeyedCallRun {
            platform: SimulatedPlatform::new(FleetConfiguration::default()),
            delayed: Vec::new(),
            clients: clients.collect(),
            executions: 0,
        }
    }

    fn step(&mut self, number: usize, fault: StepFault) {
        let Some((mut keyed_call, action)) = self.clients[number].machine.take() else { return };
        if matches!(fault, StepFault::Killed) {
            return;
        }
        let next = match action {
            KeyedCallAction::Finish(result) => {
                self.clients[number].result = Some(result);
                return;
            }
            KeyedCallAction::Send => {
                let before = self.executions;
                let outcome = self.execute(fault);
                self.clients[number].executed = self.executions > before;
                keyed_call.handle_call_outcome(outcome)
            }
            KeyedCallAction::Read => keyed_call.handle_platform_outcome(
                self.call(PlatformCall::Read { name: "order".into() }, fault),
            ),
            KeyedCallAction::Write { expected, record } => {
                let value = serde_json::to_string(&record)
                    .expect("the record should serialize to JSON")
                    .into();
                let call = PlatformCall::Write { name: "order".into(), expected, value };
                keyed_call.handle_platform_outcome(self.call(call, fault))
            }
        };
        if matches!(next, KeyedCallAction::Finish(_)) {
            self.clients[number].executions_at_result = self.executions;
        }
        self.clients[number].machine = Some((keyed_call, next));
    }

    fn execute(&mut self, fault: StepFault) -> CallOutcome {
        match fault {
            StepFault::NotRun => return CallOutcome::NotRun,
            StepFault::Delayed => return CallOutcome::Unknown,
            _ => self.executions += 1,
        }
        match fault {
            StepFault::AnswerLost => CallOutcome::Unknown,
            _ => CallOutcome::Answered(answer()),
        }
    }

    fn call(&mut self, call: PlatformCall, fault: StepFault) -> PlatformOutcome {
        match fault {
            StepFault::NotRun => PlatformOutcome::NotRun,
            StepFault::AnswerLost => {
                self.platform.apply(&call);
                PlatformOutcome::Unknown
            }
            StepFault::Delayed => {
                self.delayed.push(call);
                PlatformOutcome::Unknown
            }
            _ => self.platform.apply(&call),
        }
    }

    fn deliver_delayed_call(&mut self) {
        if let Some(call) = self.delayed.pop() {
            self.platform.apply(&call);
        }
    }

    /// Delivers all delayed calls and lets all clients finish without faults.
    fn finish_without_faults(&mut self) {
        while !self.delayed.is_empty() {
            self.deliver_delayed_call();
        }
        for _ in 0..40 {
            (0..self.clients.len()).for_each(|number| self.step(number, StepFault::NoFault));
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.executions <= 1, "executed {} times", self.executions);
        for client in &self.clients {
            match &client.result {
                Some(KeyedCallResult::Answer { answer: stored, .. }) => {
                    prop_assert_eq!(self.executions, 1);
                    prop_assert_eq!(stored, &answer());
                }
                // Another client with the same key may run the call afterwards,
                // so the count at the time of the result is compared.
                Some(KeyedCallResult::NotRun) => prop_assert_eq!(client.executions_at_result, 0),
                Some(KeyedCallResult::RecordUnavailable) => prop_assert!(!client.executed),
                _ => {}
            }
        }
        Ok(())
    }
}

fn arbitrary_fault() -> impl Strategy<Value = StepFault> {
    prop_oneof![
        6 => Just(StepFault::NoFault),
        2 => Just(StepFault::AnswerLost),
        2 => Just(StepFault::Delayed),
        1 => Just(StepFault::NotRun),
        1 => Just(StepFault::Killed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn keyed_call_runs_at_most_once_despite_faults(
        steps in prop::collection::vec((0_usize..4, arbitrary_fault(), any::<bool>()), 1..60),
    ) {
        let mut run = KeyedCallRun::new(4);
        for (number, fault, delivers) in steps {
            run.step(number, fault);
            if delivers {
                run.deliver_delayed_call();
            }
        }
        run.check()?;
        run.finish_without_faults();
        run.check()?;
    }
}
