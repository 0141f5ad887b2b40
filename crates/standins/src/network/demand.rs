//! Seeded demand, and what each scheme of sharing an allowance refuses of it.

use std::time::Duration;

use rand::Rng;
use skylarkgw::decision::shares::{LEDGER_OBJECT, PlatformCall, PlatformOutcome, ShareLedger};
use skylarkgw::ids::{ALL_PARTS, Tokens};

use crate::network::{NetworkSettings, OTHER_WORKSPACE, TestNetwork, TestRequest, WORKSPACE};

const REQUEST_TOKENS: Tokens = 50;
const RESERVED_TOKENS: Tokens = 80;
const REQUEST_LENGTH: Duration = Duration::from_millis(200);
const SETTLE_TIME: Duration = Duration::from_secs(20);
const MOVE_INTERVAL: Duration = Duration::from_secs(10);

/// How requests spread over hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DemandPattern {
    /// All hosts alike.
    Even,
    /// All requests at one host.
    OneHost,
    /// All requests at one host, another one every ten seconds.
    Moving,
    /// Even, while another workspace sends five times its rate.
    NoisyNeighbour,
    /// Even, while a third of the hosts is replaced by planned stops.
    Replacement,
    /// Even, while a third of the hosts is killed and new ones start.
    Kills,
}

/// How an allowance is shared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareScheme {
    /// Every host owns an equal part for good.
    StaticSplit,
    /// One host owns everything and lends all that others use.
    OneHolder,
    /// Every host owns an equal part, and hosts lend each other.
    MutualLoans,
}

impl DemandPattern {
    /// All patterns.
    pub const ALL: [DemandPattern; 6] = [
        DemandPattern::Even,
        DemandPattern::OneHost,
        DemandPattern::Moving,
        DemandPattern::NoisyNeighbour,
        DemandPattern::Replacement,
        DemandPattern::Kills,
    ];
}

impl ShareScheme {
    /// All schemes.
    pub const ALL: [ShareScheme; 3] =
        [ShareScheme::StaticSplit, ShareScheme::OneHolder, ShareScheme::MutualLoans];
}

/// What a scheme did with a demand.
#[derive(Clone, Copy, Debug)]
pub struct SchemeReport {
    /// Requests made.
    pub asked: u64,
    /// Requests refused although the workspace was within its rate.
    pub refused: u64,
    /// Tokens by which the bound was exceeded; zero or less is within it.
    pub excess: f64,
}

/// Measures a scheme on a seeded demand at a fraction of the rate.
pub fn measure_scheme(
    scheme: ShareScheme,
    pattern: DemandPattern,
    fraction: f64,
    seed: u64,
) -> SchemeReport {
    let settings = NetworkSettings {
        seed,
        hosts: 12,
        lending: scheme != ShareScheme::StaticSplit,
        ..NetworkSettings::default()
    };
    let (rate, burst) = (settings.rate, settings.burst);
    let mut network = TestNetwork::new(settings);
    network.run(SETTLE_TIME);
    if scheme == ShareScheme::OneHolder {
        gather_shares(&mut network);
    }
    let before = network.admissions.counts(WORKSPACE);
    DemandRun { network: &mut network, pattern, fraction, replaced: 0 }.run();
    let after = network.admissions.counts(WORKSPACE);
    SchemeReport {
        asked: after.asked - before.asked,
        refused: after.refused - before.refused,
        excess: network.admissions.excess(rate as f64, burst as f64),
    }
}

/// Gives everything to the first host, and again for as long as it spreads.
fn gather_shares(network: &mut TestNetwork) {
    let read = PlatformCall::Read { name: LEDGER_OBJECT.into() };
    let PlatformOutcome::Found { version, value } = network.platform.apply(&read) else { return };
    let ledger: ShareLedger = serde_json::from_str(&value).unwrap_or_default();
    let Some(owner) = ledger.parts.keys().next().cloned() else { return };
    let ledger = ShareLedger { parts: [(owner, ALL_PARTS)].into() };
    let value = serde_json::to_string(&ledger).unwrap_or_default().into();
    network.platform.apply(&PlatformCall::Write {
        name: LEDGER_OBJECT.into(),
        expected: version,
        value,
    });
    network.platform.frozen_objects = true;
    network.run(SETTLE_TIME);
}

struct DemandRun<'a> {
    network: &'a mut TestNetwork,
    pattern: DemandPattern,
    fraction: f64,
    replaced: usize,
}

impl DemandRun<'_> {
    const LENGTH: Duration = Duration::from_secs(60);

    fn run(mut self) {
        let settings = self.network.settings();
        let pause = REQUEST_TOKENS as f64 / (settings.rate as f64 * self.fraction);
        let pause = Duration::from_secs_f64(pause);
        let started = self.network.now;
        let mut neighbour = 0.0;
        while self.network.now < started + Self::LENGTH {
            let at = self.network.now - started;
            self.replace(at);
            let host = self.pick(at);
            self.network.request(host, request(WORKSPACE));
            if self.pattern == DemandPattern::NoisyNeighbour {
                neighbour += 5.0 / self.fraction;
                while neighbour >= 1.0 {
                    neighbour -= 1.0;
                    let host = self.any_host();
                    self.network.request(host, request(OTHER_WORKSPACE));
                }
            }
            self.network.run(pause);
        }
    }

    fn pick(&mut self, at: Duration) -> usize {
        match self.pattern {
            DemandPattern::OneHost => 1,
            DemandPattern::Moving => {
                let step = at.as_millis() / MOVE_INTERVAL.as_millis();
                1 + step as usize % (self.network.hosts.len() - 1)
            }
            _ => self.any_host(),
        }
    }

    fn any_host(&mut self) -> usize {
        let serving: Vec<usize> = (0..self.network.hosts.len())
            .filter(|number| self.network.is_serving(*number))
            .collect();
        if serving.is_empty() {
            return 0;
        }
        serving[self.network.source.random_range(0..serving.len())]
    }

    /// Replaces one host every ten seconds, four of twelve in all.
    fn replace(&mut self, at: Duration) {
        let due = (at.as_millis() / MOVE_INTERVAL.as_millis()) as usize;
        let planned = self.pattern == DemandPattern::Replacement;
        if !(planned || self.pattern == DemandPattern::Kills) || self.replaced >= due.min(4) {
            return;
        }
        self.replaced += 1;
        self.network.start_host();
        if planned {
            let leaving = self.replaced;
            self.network.step(leaving, skylarkgw::decision::host::HostInput::Drain);
        } else {
            self.network.kill(self.replaced);
        }
    }
}

fn request(workspace: &str) -> TestRequest {
    TestRequest {
        workspace: workspace.into(),
        reserve: RESERVED_TOKENS,
        used: REQUEST_TOKENS,
        duration: REQUEST_LENGTH,
    }
}
