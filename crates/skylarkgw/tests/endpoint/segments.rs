//! Bodies that are held in segments.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use skylarkgw::endpoint::{SegmentBody, SegmentBuffer};

/// Guards against lost, repeated or reordered bytes, and against memory that is not counted,
/// for parts of any size.
#[tokio::test]
async fn body_in_segments_has_the_bytes_and_the_memory_that_it_announces() {
    let sizes = [1, 1, 4_095, 4_096, 4_097, 1, 16_384, 65_536, 65_537, 200_000, 3, 8_192];
    for first in 0..sizes.len() {
        let (mut buffer, mut expected) = (SegmentBuffer::default(), Vec::new());
        for (number, size) in sizes[first..].iter().enumerate() {
            let part: Vec<u8> = (0..*size).map(|byte| (byte * 7 + number) as u8).collect();
            expected.extend_from_slice(&part);
            if number == 0 {
                buffer.push_shared(Bytes::from(part));
                continue;
            }
            let capacity = buffer.capacity_with(part.len());
            buffer.push(&part);
            assert_eq!(buffer.capacity(), capacity);
            // Growth wastes at most a segment or half of the length.
            assert!(capacity <= 2 * expected.len() + 4_096, "{capacity}");
        }
        assert_eq!(buffer.len(), expected.len());
        let bytes = buffer.finish();
        for _ in 0..2 {
            let body = SegmentBody::from(bytes.clone());
            assert_eq!(body.size_hint().exact(), Some(expected.len() as u64));
            let collected = body.collect().await.expect("a body").to_bytes();
            assert!(collected == expected, "{first}");
        }
    }
}

/// Guards against the cost of each piece of a body that arrives byte by byte.
#[test]
fn tiny_parts_share_segments() {
    let mut buffer = SegmentBuffer::default();
    (0..100_000).for_each(|_| buffer.push(b"a"));
    assert!(buffer.capacity() < 170_000, "{}", buffer.capacity());
    assert!(SegmentBody::from(SegmentBuffer::default().finish()).is_end_stream());
}
