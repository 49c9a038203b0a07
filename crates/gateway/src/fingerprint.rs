//! Fingerprints of requests: a hash of what stays the same when a caller sends a request again, which is its method,
//! host, path and body. The id, the deadline and whatever else is new with each try are left out. A load of a model
//! version has a fingerprint too; items of batches have none, as they are never held for the cause of a crash.

use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::ids::{ModelName, Version};
use http::header::HOST;

use crate::calls::Call;

/// Context string of the key derivation, which separates these hashes from other hashes of the same bytes.
const HASH_CONTEXT: &str = "havenstage gateway 2026 request fingerprint";
/// Length of a fingerprint. With 16 bytes a collision by chance is expected only among some 2^64 requests, and nobody
/// can construct a body whose fingerprint equals that of another caller's request.
const FINGERPRINT_BYTES: usize = 16;

/// The fingerprint of a caller's request.
pub(crate) fn of_call(call: &Call) -> Fingerprint {
    let host = call.headers.get(HOST);
    let path = call.uri.path_and_query();
    of_parts([
        call.method.as_str().as_bytes(),
        host.map_or(&[], |host| host.as_bytes()),
        path.map_or(&[], |path| path.as_str().as_bytes()),
        &call.body,
    ])
}

/// Takes the place of the method in fingerprints of loads. It contains spaces, so no request can have it as its method.
const LOAD_METHOD: &[u8] = b"load a version";

/// The fingerprint of loading a version of a model. It is the same on every back end.
pub(crate) fn of_load(model: &ModelName, version: Version) -> Fingerprint {
    of_parts([
        LOAD_METHOD,
        model.as_str().as_bytes(),
        &version.to_le_bytes(),
        &[],
    ])
}

fn of_parts(parts: [&[u8]; 4]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut fingerprint = [0; FINGERPRINT_BYTES];
    fingerprint.copy_from_slice(&hasher.finalize().as_bytes()[..FINGERPRINT_BYTES]);
    Fingerprint::new(fingerprint)
}
