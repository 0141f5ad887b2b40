//! Seeded demand patterns, and the refusals under each scheme of sharing an
//! allowance.

use std::time::Duration;

use rand::Rng;
use skylarkgw::decision::shares::{LEDGER_OBJECT, PlatformCall, PlatformOutcome, ShareLedger};
use skylarkgw::ids::{PARTS_PER_ALLOWANCE, Tokens};

use crate::network::{NetworkSettings, OTHER_WORKSPACE, TestNetwork, TestRequest, WORKSPACE};

const REQUEST_TOKENS: Tokens = 50;
const RESERVED_TOKENS: Tokens = 80;
const REQUEST_DURATION: Duration = Duration::from_millis(200);
const SETTLE_TIME: Duration = Duration::from_secs(20);
const CHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// Distribution of requests over hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DemandPattern {
    /// Spreads requests evenly over all hosts.
    Even,
    /// Sends all requests to one host, which is not the owner of the allowance
    /// under [`ShareScheme::OneHolder`].
    OneHost,
    /// Sends all requests to one host, and to another one every ten seconds,
    /// but never to the owner of the allowance under
    /// [`ShareScheme::OneHolder`].
    Moving,
    /// Spreads requests evenly while another workspace sends five times its
    /// rate.
    NoisyNeighbour,
    /// Spreads requests evenly while a third of the hosts is drained and new
    /// ones start, as in planned stops.
    Replacement,
    /// Spreads requests evenly while a third of the hosts is killed and new
    /// ones start.
    Kills,
}

/// Scheme by which hosts share an allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareScheme {
    /// Every host permanently owns an equal part.
    StaticSplit,
    /// One host owns the whole allowance and lends the others all that they
    /// use.
    OneHolder,
    /// Every host owns an equal part, and hosts lend each other shares.
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

/// Result of a scheme under a demand pattern.
#[derive(Clone, Copy, Debug)]
pub struct SchemeReport {
    /// Number of requests sent.
    pub asked: u64,
    /// Number of requests refused because the allowance was used up.
    ///
    /// These refusals are wrongful while the demand is within the workspace's
    /// rate.
    pub refused: u64,
    /// Tokens admitted beyond the bound; zero or negative if the bound holds.
    pub excess: f64,
}

/// Measures a scheme under a seeded demand of `fraction` times the rate.
///
/// The demand on 12 hosts lasts for 60 s of simulated time.
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
        assign_shares_to_one_host(&mut network);
    }
    let before = network.admissions.counts(WORKSPACE);
    DemandRun { network: &mut network, pattern, fraction, replaced_hosts: 0 }.run();
    let after = network.admissions.counts(WORKSPACE);
    SchemeReport {
        asked: after.asked - before.asked,
        refused: after.refused - before.refused,
        excess: network.admissions.max_excess(rate as f64, burst as f64),
    }
}

/// Assigns the whole allowance to the first host in the ledger, and makes the
/// ledger read-only, so that it is not rebalanced.
fn assign_shares_to_one_host(network: &mut TestNetwork) {
    let read = PlatformCall::Read { name: LEDGER_OBJECT.into() };
    let PlatformOutcome::Found { version, value } = network.platform.apply(&read) else { return };
    let ledger: ShareLedger = serde_json::from_str(&value).unwrap_or_default();
    let Some(owner) = ledger.parts.keys().next().cloned() else { return };
    let ledger = ShareLedger { parts: [(owner, PARTS_PER_ALLOWANCE)].into() };
    let value = serde_json::to_string(&ledger).unwrap_or_default().into();
    network.platform.apply(&PlatformCall::Write {
        name: LEDGER_OBJECT.into(),
        expected: version,
        value,
    });
    network.platform.is_ledger_read_only = true;
    network.run(SETTLE_TIME);
}

struct DemandRun<'a> {
    network: &'a mut TestNetwork,
    pattern: DemandPattern,
    fraction: f64,
    replaced_hosts: usize,
}

impl DemandRun<'_> {
    const DURATION: Duration = Duration::from_secs(60);

    fn run(mut self) {
        let settings = self.network.settings();
        let request_interval = REQUEST_TOKENS as f64 / (settings.rate as f64 * self.fraction);
        let request_interval = Duration::from_secs_f64(request_interval);
        let started = self.network.now;
        let mut neighbour_requests = 0.0;
        while self.network.now < started + Self::DURATION {
            let elapsed = self.network.now - started;
            self.replace_host(elapsed);
            let host = self.select_host(elapsed);
            self.network.send_request(host, build_request(WORKSPACE));
            if self.pattern == DemandPattern::NoisyNeighbour {
                // The interval lasts 1 / fraction requests at the full rate,
                // and the neighbour sends five times its rate.
                neighbour_requests += 5.0 / self.fraction;
                while neighbour_requests >= 1.0 {
                    neighbour_requests -= 1.0;
                    let host = self.random_serving_host();
                    self.network.send_request(host, build_request(OTHER_WORKSPACE));
                }
            }
            self.network.run(request_interval);
        }
    }

    fn select_host(&mut self, elapsed: Duration) -> usize {
        match self.pattern {
            DemandPattern::OneHost => 1,
            DemandPattern::Moving => {
                let step = elapsed.as_millis() / CHANGE_INTERVAL.as_millis();
                1 + step as usize % (self.network.hosts.len() - 1)
            }
            _ => self.random_serving_host(),
        }
    }

    fn random_serving_host(&mut self) -> usize {
        let serving: Vec<usize> = (0..self.network.hosts.len())
            .filter(|number| self.network.is_serving(*number))
            .collect();
        if serving.is_empty() {
            return 0;
        }
        serving[self.network.rng.random_range(0..serving.len())]
    }

    /// Replaces one host every ten seconds, four of twelve in total.
    fn replace_host(&mut self, elapsed: Duration) {
        let due = (elapsed.as_millis() / CHANGE_INTERVAL.as_millis()) as usize;
        let is_planned = self.pattern == DemandPattern::Replacement;
        if !(is_planned || self.pattern == DemandPattern::Kills)
            || self.replaced_hosts >= due.min(4)
        {
            return;
        }
        self.replaced_hosts += 1;
        self.network.start_host();
        if is_planned {
            let leaving = self.replaced_hosts;
            self.network.step(leaving, skylarkgw::decision::host::HostInput::Drain);
        } else {
            self.network.kill_process(self.replaced_hosts);
        }
    }
}

fn build_request(workspace: &str) -> TestRequest {
    TestRequest {
        workspace: workspace.into(),
        reserve: RESERVED_TOKENS,
        used: REQUEST_TOKENS,
        duration: REQUEST_DURATION,
    }
}
