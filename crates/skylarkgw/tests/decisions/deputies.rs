//! Pattern: the coordinator of hundreds of hosts is lost, or loses the store. Store calls
//! grow with the data centres, not with the hosts.

use std::net::SocketAddr;
use std::time::Duration;

use skylarkgw::decision::deputies::{
    DEPUTIES_PER_CENTRE, DeputyGuide, DeputyHost, StoreAccess, UNANSWERED_TIME, choose_deputies,
};

use crate::samples::ms;

const CENTRES: usize = 6;
/// Time between two calls of a host that reads the store itself, for the declaration, the
/// registry and the lease together.
const CALL_INTERVAL_MS: u64 = 100;

struct Host {
    info: DeputyHost,
    capacity: f64,
    guide: DeputyGuide,
    is_alive: bool,
}

fn address(number: usize) -> SocketAddr {
    ([10, 1, (number / 250) as u8, (number % 250) as u8], 7_600).into()
}

fn start_fleet(count: usize) -> Vec<Host> {
    let mut hosts: Vec<Host> = (0..count)
        .map(|number| Host {
            info: DeputyHost {
                host: format!("edge-{number}").into(),
                address: address(number),
                data_centre: format!("centre-{}", number % CENTRES).into(),
            },
            capacity: (number * 7 % 10) as f64 / 10.0,
            guide: DeputyGuide::default(),
            is_alive: true,
        })
        .collect();
    let deputies = choose_deputies(hosts.iter().map(|host| (&host.info, host.capacity)));
    for (number, host) in hosts.iter_mut().enumerate() {
        let (name, centre) = (host.info.host.clone(), host.info.data_centre.clone());
        host.guide.set_deputies(1, deputies.clone(), &name, &centre, number);
    }
    hosts
}

/// Lets the coordinator be lost for some time and returns the highest number of store calls
/// of all hosts in a second. Deputies that are not alive do not answer.
fn max_calls_per_second(hosts: &mut [Host], lasts_ms: u64) -> usize {
    let alive: Vec<SocketAddr> =
        hosts.iter().filter(|host| host.is_alive).map(|host| host.info.address).collect();
    let mut calls = vec![0; (lasts_ms / 1_000) as usize + 1];
    for now in (0..lasts_ms).step_by(CALL_INTERVAL_MS as usize) {
        for host in hosts.iter_mut().filter(|host| host.is_alive) {
            host.guide.set_needed(ms(now), true);
            match host.guide.access(ms(now)) {
                StoreAccess::Direct => calls[(now / 1_000) as usize] += 1,
                StoreAccess::Deputy => {
                    let Some(asked) = host.guide.begin_question(ms(now)) else { continue };
                    let is_answered = alive.contains(&asked);
                    host.guide.end_question(ms(now), is_answered, is_answered);
                }
            }
        }
    }
    calls.into_iter().max().unwrap_or_default()
}

#[test]
fn calls_without_a_coordinator_do_not_grow_with_the_hosts() {
    let mut calls = Vec::new();
    for count in [48, 295, 1_100] {
        calls.push(max_calls_per_second(&mut start_fleet(count), 4_000));
    }
    let deputies = CENTRES * DEPUTIES_PER_CENTRE;
    let max_calls = deputies * (1_000 / CALL_INTERVAL_MS as usize);
    assert!(calls.iter().all(|calls| *calls <= max_calls), "{calls:?}");
}

#[test]
fn small_fleet_has_no_deputies_and_a_large_one_some_in_each_centre() {
    let small = start_fleet(20);
    assert!(small.iter().all(|host| host.guide.access(ms(0)) == StoreAccess::Direct));
    let large = start_fleet(295);
    let deputies = choose_deputies(large.iter().map(|host| (&host.info, host.capacity)));
    assert_eq!(deputies.len(), CENTRES * DEPUTIES_PER_CENTRE);
    let capacities = deputies
        .iter()
        .map(|deputy| large.iter().find(|host| host.info == *deputy).expect("a host").capacity);
    assert!(capacities.into_iter().all(|capacity| capacity >= 0.8));
}

/// Guards against hosts that hear nothing because the deputies ended with the coordinator.
#[test]
fn hosts_read_the_store_themselves_when_no_deputy_answers() {
    let mut hosts = start_fleet(295);
    let deputies = choose_deputies(hosts.iter().map(|host| (&host.info, host.capacity)));
    for host in &mut hosts {
        host.is_alive = !deputies.contains(&host.info);
    }
    let alive = hosts.iter().filter(|host| host.is_alive).count();
    let mut direct_at = Duration::ZERO;
    for now in (0..3_000).step_by(50) {
        for host in hosts.iter_mut().filter(|host| host.is_alive) {
            host.guide.set_needed(ms(now), true);
            if let Some(_asked) = host.guide.begin_question(ms(now)) {
                host.guide.end_question(ms(now), false, false);
            }
        }
        let is_direct =
            |host: &&Host| host.is_alive && host.guide.access(ms(now)) == StoreAccess::Direct;
        if direct_at.is_zero() && hosts.iter().filter(is_direct).count() == alive {
            direct_at = ms(now);
        }
    }
    assert!(!direct_at.is_zero() && direct_at <= UNANSWERED_TIME + ms(50), "{direct_at:?}");
}

/// Guards against hosts that stay with a deputy which has lost the store itself, or that
/// is gone.
#[test]
fn host_asks_another_deputy_after_one_that_fails_or_is_not_current() {
    let mut hosts = start_fleet(295);
    let host = &mut hosts[100];
    host.guide.set_needed(ms(0), true);
    let first = host.guide.begin_question(ms(0)).expect("a deputy");
    host.guide.end_question(ms(10), true, false);
    assert_eq!(host.guide.begin_question(ms(20)), None);
    let second = host.guide.begin_question(ms(300)).expect("a deputy");
    assert_ne!(first, second);
    host.guide.end_question(ms(400), false, false);
    let third = host.guide.begin_question(ms(410)).expect("a deputy, at once");
    assert_ne!(second, third);
    host.guide.end_question(ms(420), true, true);
    assert_eq!(host.guide.begin_question(ms(700)), Some(third));
}
