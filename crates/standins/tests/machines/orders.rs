//! At most once: several callers' machines on one record, any interleaving.

use std::sync::Arc;

use proptest::prelude::*;
use skylarkgw::configuration::FleetConfiguration;
use skylarkgw::decision::orders::{
    CallOutcome, KeyedOrder, OrderAction, OrderFinish, StoredAnswer,
};
use skylarkgw::decision::shares::{PlatformCall, PlatformOutcome};
use standins::network::SimulatedPlatform;

/// What happens at one step of one caller.
#[derive(Clone, Copy, Debug)]
enum StepFate {
    Fine,
    AnswerLost,
    Late,
    NotRun,
    Killed,
}

struct Caller {
    machine: Option<(KeyedOrder, OrderAction)>,
    finish: Option<OrderFinish>,
    executed: bool,
    executions_then: u32,
}

struct OrderRun {
    platform: SimulatedPlatform,
    late: Vec<PlatformCall>,
    callers: Vec<Caller>,
    executions: u32,
}

fn answer() -> StoredAnswer {
    StoredAnswer { status: 201, content_type: "application/json".into(), body: Some("{}".into()) }
}

impl OrderRun {
    fn new(callers: usize) -> OrderRun {
        let callers = (0..callers).map(|number| {
            let attempt: Arc<str> = format!("attempt-{number}").into();
            let machine = Some(KeyedOrder::start(attempt, "digest".into()));
            Caller { machine, finish: None, executed: false, executions_then: 0 }
        });
        OrderRun {
            platform: SimulatedPlatform::new(FleetConfiguration::default()),
            late: Vec::new(),
            callers: callers.collect(),
            executions: 0,
        }
    }

    fn step(&mut self, number: usize, fate: StepFate) {
        let Some((mut order, action)) = self.callers[number].machine.take() else { return };
        if matches!(fate, StepFate::Killed) {
            return;
        }
        let next = match action {
            OrderAction::Finish(finish) => {
                self.callers[number].finish = Some(finish);
                return;
            }
            OrderAction::Send => {
                let before = self.executions;
                let outcome = self.execute(fate);
                self.callers[number].executed = self.executions > before;
                order.service(outcome)
            }
            OrderAction::Read => {
                order.platform(self.call(PlatformCall::Read { name: "order".into() }, fate))
            }
            OrderAction::Write { expected, record } => {
                let value = serde_json::to_string(&record).expect("a record is JSON").into();
                let call = PlatformCall::Write { name: "order".into(), expected, value };
                order.platform(self.call(call, fate))
            }
        };
        if matches!(next, OrderAction::Finish(_)) {
            self.callers[number].executions_then = self.executions;
        }
        self.callers[number].machine = Some((order, next));
    }

    fn execute(&mut self, fate: StepFate) -> CallOutcome {
        match fate {
            StepFate::NotRun => return CallOutcome::NotRun,
            StepFate::Late => return CallOutcome::Unknown,
            _ => self.executions += 1,
        }
        match fate {
            StepFate::AnswerLost => CallOutcome::Unknown,
            _ => CallOutcome::Answered(answer()),
        }
    }

    fn call(&mut self, call: PlatformCall, fate: StepFate) -> PlatformOutcome {
        match fate {
            StepFate::NotRun => PlatformOutcome::NotRun,
            StepFate::AnswerLost => {
                self.platform.apply(&call);
                PlatformOutcome::Unknown
            }
            StepFate::Late => {
                self.late.push(call);
                PlatformOutcome::Unknown
            }
            _ => self.platform.apply(&call),
        }
    }

    fn arrive_late(&mut self) {
        if let Some(call) = self.late.pop() {
            self.platform.apply(&call);
        }
    }

    /// Lets everyone end without further faults.
    fn finish(&mut self) {
        while !self.late.is_empty() {
            self.arrive_late();
        }
        for _ in 0..40 {
            (0..self.callers.len()).for_each(|number| self.step(number, StepFate::Fine));
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.executions <= 1, "executed {} times", self.executions);
        for caller in &self.callers {
            match &caller.finish {
                Some(OrderFinish::Answer { answer: kept, .. }) => {
                    prop_assert_eq!(self.executions, 1);
                    prop_assert_eq!(kept, &answer());
                }
                // Another caller with the same key may run it afterwards, so
                // the count at the time of the answer decides.
                Some(OrderFinish::NotRun) => prop_assert_eq!(caller.executions_then, 0),
                Some(OrderFinish::Unread) => prop_assert!(!caller.executed),
                _ => {}
            }
        }
        Ok(())
    }
}

fn fate() -> impl Strategy<Value = StepFate> {
    prop_oneof![
        6 => Just(StepFate::Fine),
        2 => Just(StepFate::AnswerLost),
        2 => Just(StepFate::Late),
        1 => Just(StepFate::NotRun),
        1 => Just(StepFate::Killed),
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
    fn order_runs_at_most_once_whatever_is_lost(
        steps in prop::collection::vec((0_usize..4, fate(), any::<bool>()), 1..60),
    ) {
        let mut run = OrderRun::new(4);
        for (number, fate, late) in steps {
            run.step(number, fate);
            if late {
                run.arrive_late();
            }
        }
        run.check()?;
        run.finish();
        run.check()?;
    }
}
