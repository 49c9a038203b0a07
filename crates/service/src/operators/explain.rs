//! `GET /apis/v1/explain/SUBJECT`: why something happened.

use axum::Json;
use axum::extract::{Path, State};
use havenstage_rollout::ids::{BatchId, ItemId};

use super::error::OperatorError;
use super::router::OperatorState;
use crate::explain::{self, Decision, Explanation, Subject};

/// A subject is a request, a batch, a sample as `BATCH/SAMPLE`, an engine or a model.
pub(super) async fn explain(
    State(state): State<OperatorState>,
    Path(text): Path<String>,
) -> Result<Json<Explanation>, OperatorError> {
    let subject = Subject::from(text.as_str());
    let decisions = state.records.about(&subject);
    let (batch, sample) = batch_of(&subject, &decisions);
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

/// The batch whose records may tell more, and its sample if one is asked about: a name may be that of a
/// batch, or of a sample whose decisions name its batch.
fn batch_of(subject: &Subject, decisions: &[Decision]) -> (String, Option<ItemId>) {
    match subject {
        Subject::Sample { batch, sample } => (batch.clone(), Some(ItemId::from(sample.as_str()))),
        Subject::Name(name) => {
            let of_request = decisions.iter().rev().find_map(|decision| {
                let text = |field: &str| decision.fields.get(field)?.as_str();
                (text("request") == Some(name))
                    .then(|| text("batch"))
                    .flatten()
            });
            match of_request {
                Some(batch) => (batch.to_owned(), Some(ItemId::from(name.as_str()))),
                None => (name.clone(), None),
            }
        }
    }
}
