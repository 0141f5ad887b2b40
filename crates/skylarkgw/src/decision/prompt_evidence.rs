//! Evidence on prompt parts that crash engines, as hosts report it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, PartHash};

/// Maximum number of parts of one prompt that are considered.
const MAX_PARTS_PER_PROMPT: usize = 64;

/// How far an engine had come with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnswerProgress {
    /// No response head has arrived, so the request may still have been queued.
    #[default]
    Waiting,
    /// The head has arrived, but no whole event and no whole body.
    Begun,
    /// At least one whole event or the whole body has arrived.
    Streaming,
}

impl AnswerProgress {
    /// Returns the short name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            AnswerProgress::Waiting => "waiting",
            AnswerProgress::Begun => "begun",
            AnswerProgress::Streaming => "streaming",
        }
    }
}

/// A part of a prompt on which an engine may have crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SuspectPart {
    /// Hash of the part.
    pub part: PartHash,
    /// Position of the part in its prompt, from zero.
    pub position: u32,
}

/// The end of an engine while it had not begun to stream the answer to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashObservation {
    /// Engine that ended.
    pub engine: EndpointId,
    /// Time since the engine ended.
    pub age: Duration,
    /// Shared parts of the request's prompt.
    pub parts: Vec<SuspectPart>,
}

/// Returns the hashes of the parts of a prompt that other prompts may share.
///
/// The last part belongs to one request or session and is left out. The hash is
/// the same in every process.
pub fn hash_shared_parts<'a>(ids: impl ExactSizeIterator<Item = &'a str>) -> Vec<PartHash> {
    let shared = ids.len().saturating_sub(1).min(MAX_PARTS_PER_PROMPT);
    ids.take(shared).map(hash_part).collect()
}

fn hash_part(id: &str) -> PartHash {
    let hash = blake3::hash(id.as_bytes());
    let (first, _) = hash.as_bytes().split_first_chunk().unwrap_or((&[0; 8], &[]));
    PartHash::from_le_bytes(*first)
}
