//! A version swap: fetch while computing goes on, load while it stands still, then success or
//! failure.

use std::time::Duration;

use havenstage_types::ids::VersionNumber;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::clock::EngineTime;
use crate::settings::SwapSettings;

/// A version with the place it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SwapTarget {
    pub(crate) version: VersionNumber,
    pub(crate) location: String,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Idle,
    /// `until` is unknown when the fetch is external.
    Fetching {
        target: SwapTarget,
        until: Option<EngineTime>,
    },
    Fetched {
        target: SwapTarget,
    },
    Loading {
        target: SwapTarget,
        until: EngineTime,
    },
}

/// How a swap ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SwapEnd {
    Loaded(VersionNumber),
    Failed(VersionNumber),
}

/// The state of swapping.
#[derive(Debug)]
pub(crate) struct Swap {
    settings: SwapSettings,
    phase: Phase,
    /// Ordered while another version was loading.
    next: Option<SwapTarget>,
    failed: Option<VersionNumber>,
    fail_next: bool,
}

impl Swap {
    pub(crate) fn new(settings: SwapSettings) -> Self {
        Self {
            settings,
            phase: Phase::Idle,
            next: None,
            failed: None,
            fail_next: false,
        }
    }

    /// Version whose swap failed last, until another one succeeds.
    pub(crate) fn failed(&self) -> Option<VersionNumber> {
        self.failed
    }

    pub(crate) fn is_swapping(&self) -> bool {
        self.phase != Phase::Idle
    }

    pub(crate) fn is_loading(&self) -> bool {
        matches!(self.phase, Phase::Loading { .. })
    }

    /// Whether weights are there and computing must stop for the load.
    pub(crate) fn is_fetched(&self) -> bool {
        matches!(self.phase, Phase::Fetched { .. })
    }

    /// Makes the next swap fail after its load.
    pub(crate) fn fail_next(&mut self) {
        self.fail_next = true;
    }

    /// Starts a swap, in place of one that is still fetching. Returns what to fetch when the fetch
    /// is external.
    pub(crate) fn order(
        &mut self,
        now: EngineTime,
        target: SwapTarget,
        current: Option<VersionNumber>,
    ) -> Option<SwapTarget> {
        if let Phase::Loading {
            target: loading, ..
        } = &self.phase
        {
            self.next = (loading.version != target.version).then_some(target);
            return None;
        }
        if self.target() == Some(target.version) {
            return None;
        }
        if current == Some(target.version) {
            self.phase = Phase::Idle;
            return None;
        }
        self.start_fetch(now, target)
    }

    /// Tells how an external fetch ended. One that is no longer wanted is ignored.
    pub(crate) fn fetch_finished(
        &mut self,
        version: VersionNumber,
        succeeded: bool,
    ) -> Option<SwapEnd> {
        let Phase::Fetching {
            target,
            until: None,
        } = &self.phase
        else {
            return None;
        };
        if target.version != version {
            return None;
        }
        if succeeded {
            self.phase = Phase::Fetched {
                target: target.clone(),
            };
            return None;
        }
        self.phase = Phase::Idle;
        self.failed = Some(version);
        Some(SwapEnd::Failed(version))
    }

    pub(crate) fn next_event_at(&self) -> Option<EngineTime> {
        match &self.phase {
            Phase::Fetching { until, .. } => *until,
            Phase::Loading { until, .. } => Some(*until),
            Phase::Idle | Phase::Fetched { .. } => None,
        }
    }

    /// Moves from fetching to fetched when the time has come.
    pub(crate) fn end_due_fetch(&mut self, now: EngineTime) {
        if let Phase::Fetching {
            target,
            until: Some(until),
        } = &self.phase
            && *until <= now
        {
            self.phase = Phase::Fetched {
                target: target.clone(),
            };
        }
    }

    /// Starts loading what has been fetched.
    pub(crate) fn begin_load(&mut self, now: EngineTime) {
        if let Phase::Fetched { target } = &self.phase {
            self.phase = Phase::Loading {
                target: target.clone(),
                until: now + Duration::from_micros(self.settings.load_us),
            };
        }
    }

    /// Ends a load when the time has come.
    pub(crate) fn end_due_load(
        &mut self,
        now: EngineTime,
        random: &mut ChaCha8Rng,
    ) -> Option<SwapEnd> {
        let version = match &self.phase {
            Phase::Loading { target, until } if *until <= now => target.version,
            _ => return None,
        };
        self.phase = Phase::Idle;
        let fails = random.random_bool(self.settings.failure_probability);
        if std::mem::take(&mut self.fail_next) || fails {
            self.failed = Some(version);
            return Some(SwapEnd::Failed(version));
        }
        self.failed = None;
        Some(SwapEnd::Loaded(version))
    }

    /// The version ordered while another one was loading.
    pub(crate) fn take_next(&mut self) -> Option<SwapTarget> {
        self.next.take()
    }

    fn target(&self) -> Option<VersionNumber> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Fetching { target, .. }
            | Phase::Fetched { target }
            | Phase::Loading { target, .. } => Some(target.version),
        }
    }

    fn start_fetch(&mut self, now: EngineTime, target: SwapTarget) -> Option<SwapTarget> {
        let external = self.settings.external_fetch;
        let fetch = Duration::from_micros(self.settings.fetch_us);
        self.phase = Phase::Fetching {
            target: target.clone(),
            until: (!external).then(|| now + fetch),
        };
        external.then_some(target)
    }
}
