//! `GET /apis/v1/explain/SUBJECT`: decisions and log records about a subject.

use axum::Json;
use axum::extract::{Path, State};
use havenstage_rollout::ids::{BatchId, ItemId};

use super::error::OperatorError;
use super::router::OperatorState;
use crate::explain::{self, Decision, Explanation, Subject};

/// Explains a subject: a request, a batch, a sample written as `BATCH/SAMPLE`, an engine or a model.
pub(super) async fn explain(
    State(state): State<OperatorState>,
    Path(text): Path<String>,
) -> Result<Json<Explanation>, OperatorError> {
    let subject = Subject::from(text.as_str());
    let decisions = state.records.about(&subject);
    let (batch, sample) = find_batch(&subject, &decisions);
    let batch = BatchId::from(batch);
    let partition = state.context.partition_of(&batch).id;
    let log = state.context.log.as_ref();
    let logged = explain::read_log(log, partition, &batch, sample.as_ref()).await?;
    Ok(Json(Explanation {
        subject: text,
        decisions,
        decisions_forgotten: state.records.forgotten(),
        logged,
    }))
}

/// Returns the batch whose log records concern the subject, and the sample if the subject is one. A plain
/// name is taken as that of a sample if a decision about a request of that name has a batch, and as that of
/// a batch otherwise.
fn find_batch(subject: &Subject, decisions: &[Decision]) -> (String, Option<ItemId>) {
    match subject {
        Subject::Sample { batch, sample } => (batch.clone(), Some(ItemId::from(sample.as_str()))),
        Subject::Name(name) => {
            let batch_of_request = decisions.iter().rev().find_map(|decision| {
                let text = |field: &str| decision.fields.get(field)?.as_str();
                (text("request") == Some(name))
                    .then(|| text("batch"))
                    .flatten()
            });
            match batch_of_request {
                Some(batch) => (batch.to_owned(), Some(ItemId::from(name.as_str()))),
                None => (name.clone(), None),
            }
        }
    }
}
