//! The HTTP dialect of the tests: short header names, and lines of text instead of JSON documents.

use std::sync::Arc;

use bytes::Bytes;
use havenstage_gateway::edge::{
    BackendReport, BatchCall, Dialect, HeaderNames, ResultPage, UnreadableSubmission, VersionOrder,
};
use havenstage_rollout::batch::{Item, RewardCall, Submission};
use havenstage_rollout::batch_state::ItemResult;
use havenstage_rollout::ids::{BatchId, GroupId, ItemId, ModelName};
use havenstage_rollout::record::Outcome;
use http::header::HeaderName;
use http::{Method, Request, Uri};
use http_body_util::Full;

pub const HOST: &str = "host.test";
pub const MODEL: &str = "model";

pub struct TestDialect {
    headers: HeaderNames,
}

impl TestDialect {
    pub fn new() -> Arc<Self> {
        let name = HeaderName::from_static;
        let headers = HeaderNames {
            request_id: name("x-id"),
            deadline_ms: name("x-deadline"),
            expected_backend: name("x-expected"),
            not_run: name("x-not-run"),
            signature: name("x-signature"),
            weight_version: name("x-version"),
            urgency: name("x-urgency"),
            last_event_id: name("last-event-id"),
            wait_ms: name("x-wait"),
            api_key: name("x-key"),
            tenant: name("x-tenant"),
        };
        Arc::new(Self { headers })
    }
}

/// Path of reward calls.
const REWARD_PATH: &str = "/calls/reward";
/// Written instead of the path for an item without a reward call.
const NO_REWARD: &str = "-";

/// Writes a batch: a line with the minimum version, then a line `item group tokens reward-path` for each item.
pub fn write_batch(minimum_version: u64, items: &[(&str, &str)], has_reward: bool) -> String {
    let reward_path = match has_reward {
        true => REWARD_PATH,
        false => NO_REWARD,
    };
    write_batch_with_rewards(minimum_version, items, reward_path)
}

/// Like [`write_batch`], with reward calls of all items to `reward_path`.
pub fn write_batch_with_rewards(
    minimum_version: u64,
    items: &[(&str, &str)],
    reward_path: &str,
) -> String {
    let mut text = format!("{minimum_version}\n");
    for (item, group) in items {
        text.push_str(&format!("{item} {group} 4 {reward_path}\n"));
    }
    text
}

fn read_item(line: &str) -> Option<Arc<Item>> {
    let mut words = line.split(' ');
    let (id, group) = (words.next()?, words.next()?);
    let expected_tokens = words.next()?.parse().ok()?;
    let reward_path = words.next()?;
    let reward = (reward_path != NO_REWARD).then(|| RewardCall {
        id: format!("reward-of-{id}"),
        host: HOST.to_owned(),
        path: reward_path.to_owned(),
        body: Bytes::from_static(b"reward"),
    });
    Some(Arc::new(Item {
        id: ItemId::from(id),
        path: format!("/items/{id}"),
        headers: Vec::new(),
        body: Bytes::from(format!("body of {id}")),
        group: Some(GroupId::from(group)),
        expected_tokens,
        reward,
    }))
}

impl Dialect for TestDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn is_readiness_call(&self, _: &Method, path: &str) -> bool {
        path == "/ready"
    }

    fn batch_call(&self, method: &Method, uri: &Uri) -> Option<BatchCall> {
        let rest = uri.path().strip_prefix("/results/")?;
        let query = uri.query().unwrap_or_default();
        let batch = BatchId::from(rest);
        Some(match (method.as_str(), query.split_once('=')) {
            ("DELETE", _) => BatchCall::End { batch },
            (_, Some(("from", from))) => BatchCall::Read {
                batch,
                from: from.parse().unwrap_or(0),
            },
            (_, Some(("item", item))) => BatchCall::ItemBody {
                batch,
                item: ItemId::from(item),
            },
            _ => BatchCall::Malformed,
        })
    }

    fn read_submission(
        &self,
        batch: BatchId,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Submission, UnreadableSubmission> {
        let failed = || UnreadableSubmission("not lines of words".to_owned());
        let text = std::str::from_utf8(body).map_err(|_| failed())?;
        let mut lines = text.lines();
        let minimum = lines
            .next()
            .and_then(|line| line.parse().ok())
            .ok_or_else(failed)?;
        let items: Option<Vec<Arc<Item>>> = lines.map(read_item).collect();
        Ok(Submission {
            id: batch,
            host: host.to_owned(),
            path: path.to_owned(),
            step: Some(minimum + 1),
            model: Some(ModelName::from(MODEL)),
            minimum_version: minimum,
            desired_groups: 100,
            items: items.ok_or_else(failed)?,
        })
    }

    fn prompt_tokens(&self, _: &Item) -> u32 {
        0
    }

    fn result_bytes(&self, result: &ItemResult) -> usize {
        result.text().len()
    }

    /// Writes a line `total next`, then a line `item|state|text|versions|score` for each result.
    fn write_results(&self, page: &ResultPage<'_>) -> Bytes {
        let mut text = format!("{} {}\n", page.total, page.next);
        for (item, result) in &page.results {
            let (state, score) = match &result.outcome {
                Outcome::Completed { score } => ("completed", score.clone().unwrap_or_default()),
                Outcome::GivenUp(reason) => ("given up", format!("{reason:?}")),
            };
            let output = String::from_utf8(result.text()).unwrap().replace('\n', "/");
            text.push_str(&format!(
                "{item}|{state}|{output}|{:?}|{score}\n",
                result.versions()
            ));
        }
        Bytes::from(text)
    }

    fn content_type(&self) -> &'static str {
        "text/plain"
    }

    fn order_request(&self, order: &VersionOrder) -> Request<Full<Bytes>> {
        let body = format!(
            "{} {} {} {}",
            order.model, order.version, order.holder, order.fence
        );
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static("/order");
        request
    }

    fn report_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static("/report");
        request
    }

    fn read_report(&self, body: &[u8]) -> Option<BackendReport> {
        let version = std::str::from_utf8(body).ok()?.parse().ok()?;
        let models = std::collections::BTreeMap::from([(ModelName::from(MODEL), version)]);
        Some(BackendReport {
            models,
            busy: false,
            orders_taken: 0,
            started_at: None,
        })
    }
}
