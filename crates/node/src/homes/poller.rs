//! Asks one engine for its reports and orders versions on it.

use std::sync::Arc;
use std::time::Duration;

use havenstage_config::PublishedVersion;
use havenstage_edge::engine::EngineError;
use havenstage_placement::rollout_waves::{WaveSettings, swap_delay};
use havenstage_types::clock::Moment;
use havenstage_types::decision::Decision;
use havenstage_types::engine::{EngineAction, EngineEndpoint, EngineOrder, LoadReport};
use havenstage_types::ids::{EngineName, FencingToken, VersionNumber};

use super::Homes;

/// Pause before a failed swap is ordered again.
const SWAP_RETRY: Duration = Duration::from_secs(2);

/// Polls while a swap is due or under way.
const SWAP_POLL: Duration = Duration::from_millis(250);

/// Keeps an engine's report fresh and its version up to date, until aborted.
pub(super) async fn run(homes: Arc<Homes>, endpoint: EngineEndpoint) {
    let mut swap = SwapState::default();
    let mut config = homes.context.config.subscribe();
    loop {
        config.borrow_and_update();
        let report = poll(&homes, &endpoint).await;
        let wait = swap.step(&homes, &endpoint, report.as_ref()).await;
        tokio::select! {
            biased;
            () = tokio::time::sleep(wait) => {}
            // A new version must not wait for the next poll.
            _ = config.changed(), if !swap.is_due() => {}
        }
    }
}

async fn poll(homes: &Homes, endpoint: &EngineEndpoint) -> Option<LoadReport> {
    let asked_at = homes.context.now();
    let report = homes.context.environment.engines.load(endpoint).await;
    let now = homes.context.now();
    homes.with_home(&endpoint.name, |home| match &report {
        Ok(report) => {
            home.note_report(asked_at);
            home.admission.record_report(now, report)
        }
        Err(_unreachable) => home.admission.record_unreachable(now),
    });
    report.ok()
}

/// A version that is still to be ordered on the engine.
#[derive(Debug, Clone)]
struct DueSwap {
    version: VersionNumber,
    token: FencingToken,
    location: String,
    not_before: Moment,
}

#[derive(Default)]
struct SwapState {
    due: Option<DueSwap>,
    /// Highest version this home has seen published and for which it has picked a moment.
    planned: Option<VersionNumber>,
}

impl SwapState {
    fn is_due(&self) -> bool {
        self.due.is_some()
    }

    /// Plans or gives the order that is due; returns how long to wait before the next poll.
    async fn step(
        &mut self,
        homes: &Homes,
        endpoint: &EngineEndpoint,
        report: Option<&LoadReport>,
    ) -> Duration {
        let idle = Duration::from_millis(homes.context.settings.engine_poll_ms);
        let Some(report) = report else {
            return idle;
        };
        let Some(newest) = newest_version(homes, &endpoint.name) else {
            return idle;
        };
        if report.version >= Some(newest.number) {
            self.due = None;
            self.planned = Some(newest.number);
            return idle;
        }
        self.plan(homes, &endpoint.name, report, &newest);
        if report.swapping {
            return SWAP_POLL.min(idle);
        }
        self.order_if_time(homes, endpoint).await
    }

    fn plan(
        &mut self,
        homes: &Homes,
        engine: &EngineName,
        report: &LoadReport,
        newest: &PublishedVersion,
    ) {
        if self
            .due
            .as_ref()
            .is_some_and(|due| due.version == newest.number)
        {
            return;
        }
        let now = homes.context.now();
        // An engine without any version, or one that missed an earlier order, need not wait for
        // its place in the wave: it serves nothing current.
        let first_time = self.planned != Some(newest.number) && report.version.is_some();
        let delay = if first_time {
            wave_delay(homes, engine, FencingToken(newest.revision.0))
        } else {
            Duration::ZERO
        };
        self.planned = Some(newest.number);
        self.due = Some(DueSwap {
            version: newest.number,
            token: FencingToken(newest.revision.0),
            location: newest.location.clone(),
            not_before: now + delay,
        });
    }

    async fn order_if_time(&mut self, homes: &Homes, endpoint: &EngineEndpoint) -> Duration {
        let Some(due) = self.due.as_mut() else {
            return SWAP_POLL;
        };
        let now = homes.context.now();
        if now < due.not_before {
            return due.not_before.since(now).min(SWAP_POLL);
        }
        due.not_before = now + SWAP_RETRY;
        let due = due.clone();
        order(homes, endpoint, due).await;
        SWAP_POLL
    }
}

async fn order(homes: &Homes, endpoint: &EngineEndpoint, due: DueSwap) {
    // A home that woke late must not order what it no longer knows to be current.
    if homes.context.check_dispatch().is_err() {
        return;
    }
    let order = EngineOrder {
        token: due.token,
        action: EngineAction::LoadVersion {
            version: due.version,
            location: due.location,
        },
    };
    let ordered = homes
        .context
        .environment
        .engines
        .order(endpoint, order)
        .await;
    match ordered {
        Ok(()) => {
            if homes.context.settings.placement.live_avoids_swaps {
                homes.with_home(&endpoint.name, |home| {
                    home.admission.record_swap_order(due.version);
                    Vec::new()
                });
            }
            let decision = Decision::VersionOrdered {
                version: due.version,
                token: due.token.0,
            };
            homes.context.decide(endpoint.name.as_str(), decision);
        }
        Err(EngineError::Fenced { highest }) => {
            log::info!(engine = endpoint.name.as_str(), highest = highest.0; "order fenced off");
        }
        Err(error) => {
            log::warn!(engine = endpoint.name.as_str(), version = due.version.0; "order failed: {error}");
        }
    }
}

fn newest_version(homes: &Homes, engine: &EngineName) -> Option<PublishedVersion> {
    let state = homes.context.state();
    let spec = state.engine(engine)?;
    let pool = state.pool(&spec.pool)?;
    state.newest_version(&pool.model)
}

fn wave_delay(homes: &Homes, engine: &EngineName, token: FencingToken) -> Duration {
    let state = homes.context.state();
    let Some(spec) = state.engine(engine) else {
        return Duration::ZERO;
    };
    let engines: Vec<EngineName> = state
        .engines_of_pool(&spec.pool)
        .map(|(name, _)| name)
        .collect();
    let settings = WaveSettings {
        spread: Duration::from_millis(homes.context.settings.swap_spread_ms),
        fetches_per_second: f64::from(homes.context.settings.weight_fetches_per_second),
    };
    swap_delay(engine, token, &engines, &settings)
}
