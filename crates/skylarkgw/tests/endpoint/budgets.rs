//! The memory of responses that are held until they are complete.

use skylarkgw::endpoint::{ByteBudget, HeldBody};

/// Memory of all held responses, in bytes.
const LIMIT: usize = 100_000;
/// Maximum length of one body, in bytes.
const MAX_BODY: usize = 80_000;

/// Returns a body of the given length.
fn hold(budget: &ByteBudget, length: usize) -> HeldBody {
    let mut body = budget.hold_body();
    assert!(body.try_extend(&vec![b'a'; length], MAX_BODY), "{length} bytes");
    body
}

/// Guards against the loss of a short answer, because a longer one had used up the memory.
#[tokio::test]
async fn longest_body_gives_way_to_a_shorter_one() {
    let budget = ByteBudget::new(LIMIT);
    let (mut long, middle) = (hold(&budget, 60_000), hold(&budget, 30_000));
    let short = hold(&budget, 20_000);
    long.eviction().await;
    assert!(!long.try_extend(b"a", MAX_BODY));
    assert!(long.into_bytes().is_none());
    assert_eq!(middle.into_bytes().map(|bytes| bytes.len()), Some(30_000));
    assert_eq!(short.into_bytes().map(|bytes| bytes.len()), Some(20_000));
}

/// Guards against memory beyond the limit: a body that is the longest one fails itself.
#[test]
fn longest_body_does_not_displace_shorter_ones() {
    let budget = ByteBudget::new(LIMIT);
    let shorter: Vec<HeldBody> = (0..3).map(|_| hold(&budget, 25_000)).collect();
    let mut long = budget.hold_body();
    assert!(!long.try_extend(&[b'a'; 60_000], MAX_BODY));
    assert!(shorter.into_iter().all(|body| body.into_bytes().is_some()));
}

/// Guards against a complete answer that is lost while its client reads it.
#[test]
fn complete_body_does_not_give_way() {
    let budget = ByteBudget::new(LIMIT);
    let complete = hold(&budget, 60_000).into_bytes().expect("a body");
    let mut short = budget.hold_body();
    assert!(!short.try_extend(&[b'a'; 50_000], MAX_BODY));
    assert_eq!(complete.len(), 60_000);
    drop(complete);
    assert!(short.try_extend(&[b'a'; 50_000], MAX_BODY));
}

/// Guards against a budget that shrinks with each response.
#[test]
fn memory_is_returned() {
    let budget = ByteBudget::new(LIMIT);
    for _ in 0..10 {
        let (long, _short) = (hold(&budget, 70_000), hold(&budget, 50_000));
        assert!(long.into_bytes().is_none());
        let mut memory = budget.hold_memory();
        assert!(memory.try_resize(40_000) && memory.try_resize(10) && memory.try_resize(0));
    }
    hold(&budget, MAX_BODY);
}
