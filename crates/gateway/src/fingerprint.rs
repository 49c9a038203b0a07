//! What stays the same of a request when its caller sends it again: method, host, path and body, but not
//! its id, its deadline, or whatever else is new with each try. A load of a version has one too.

use havenstage_rollout::batch::Item;
use havenstage_rollout::crash_ledger::Fingerprint;
use havenstage_rollout::ids::{ModelName, Version};
use http::header::HOST;

use crate::calls::Call;

/// Sets these hashes apart from others of the same bytes.
const CONTEXT: &str = "havenstage gateway 2026 request fingerprint";
/// Bytes of the hash that are kept: two requests share them by chance once in 2^64 requests, and nobody can
/// choose a body so that it shares them with somebody else's.
const KEPT_BYTES: usize = 16;

/// The fingerprint of a call.
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

/// The fingerprint of an item of a batch, whichever batch carries it.
pub(crate) fn of_item(host: &str, item: &Item) -> Fingerprint {
    of_parts([
        http::Method::POST.as_str().as_bytes(),
        host.as_bytes(),
        item.path.as_bytes(),
        &item.body,
    ])
}

/// Stands for the method of loads, which no request can have.
const LOAD: &[u8] = b"load a version";

/// The fingerprint of loading a version, wherever that is done.
pub(crate) fn of_load(model: &ModelName, version: Version) -> Fingerprint {
    of_parts([LOAD, model.as_str().as_bytes(), &version.to_le_bytes(), &[]])
}

fn of_parts(parts: [&[u8]; 4]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut kept = [0; KEPT_BYTES];
    kept.copy_from_slice(&hasher.finalize().as_bytes()[..KEPT_BYTES]);
    Fingerprint::new(kept)
}
