//! The engine's interface: requests, orders and time go in, outputs come out.

mod events;

use std::collections::BTreeMap;
use std::time::Duration;

use havenstage_types::engine::{EngineAction, EngineOrder, GenerateRequest, LoadReport};
use havenstage_types::ids::{AttemptId, FencingToken, VersionNumber};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::batch::{Batch, Iteration};
use crate::cache_events::CacheEventQueue;
use crate::clock::EngineTime;
use crate::content::{self, Answer};
use crate::load_history::LoadHistory;
use crate::output::{EngineOutput, OrderRefusal, SubmitRefusal};
use crate::record::{ExecutionLog, ExecutionOutcome, ExecutionRecord};
use crate::sequence::Sequence;
use crate::settings::{EngineSettings, InvalidEngineSettings};
use crate::swap::{Swap, SwapTarget};

/// A model of one engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    random: ChaCha8Rng,
    now: EngineTime,
    boot: u64,
    version: Option<VersionNumber>,
    highest_token: FencingToken,
    leaving: bool,
    batch: Batch,
    iteration: Option<RunningIteration>,
    swap: Swap,
    cache_events: CacheEventQueue,
    /// Imported blocks by the time at which their transfer ends.
    imports: BTreeMap<EngineTime, Vec<u64>>,
    load_history: LoadHistory,
    log: ExecutionLog,
    /// Prefilled tokens of earlier boots.
    prefilled_before: u64,
    outputs: Vec<EngineOutput>,
}

#[derive(Debug)]
struct RunningIteration {
    ends_at: EngineTime,
    iteration: Iteration,
}

/// KV memory of an execution, to be imported by another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvExport {
    /// Version it was computed with.
    pub version: VersionNumber,
    /// Prefix hashes of its whole blocks.
    pub block_hashes: Vec<u64>,
    /// Time the transfer takes.
    pub transfer: Duration,
}

impl Engine {
    /// Starts an engine at time zero. `seed` decides its boot ids and random failures, not its
    /// answers.
    pub fn new(settings: EngineSettings, seed: u64) -> Result<Self, InvalidEngineSettings> {
        settings.validate()?;
        let settings = settings.with_instant_applied();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let boot = random.next_u64();
        let now = EngineTime(0);
        let first_report = initial_report(&settings, boot);
        let lag = Duration::from_micros(settings.load_report_lag_us);
        Ok(Self {
            random,
            now,
            boot,
            version: settings.initial_version.map(VersionNumber),
            highest_token: FencingToken(0),
            leaving: false,
            batch: Batch::new(&settings),
            iteration: None,
            swap: Swap::new(settings.swap),
            cache_events: CacheEventQueue::new(&settings.kv),
            imports: BTreeMap::new(),
            load_history: LoadHistory::new(lag, now, first_report),
            log: ExecutionLog::keeping(settings.most_records),
            prefilled_before: 0,
            outputs: Vec::new(),
            settings,
        })
    }

    /// Takes a request; its output comes from [`Self::advance`]. After an error nothing runs.
    pub fn submit(
        &mut self,
        now: EngineTime,
        request: GenerateRequest,
    ) -> Result<(), SubmitRefusal> {
        self.run_until(now);
        let version = self.version.ok_or(SubmitRefusal::NoVersion)?;
        let prompt = content::prompt_tokens(&request.prompt);
        self.check_submit(&request, prompt.len())?;
        let answer = Answer::to_prompt(
            self.settings.content_seed,
            &request.subject,
            &request.prompt,
            self.settings.prompt_length_share,
            &self.settings.output_length,
            request.max_tokens,
        );
        self.log.start(self.now, self.boot, &request);
        let class = request.class;
        let mut sequence =
            Sequence::new(request, prompt, answer, self.settings.chunk_tokens(class));
        if self.settings.instant {
            sequence.generate_all();
        }
        if sequence.is_complete() {
            self.put_out(version, &mut sequence);
        } else {
            self.batch.push(class, sequence);
        }
        self.start_next();
        Ok(())
    }

    fn check_submit(
        &self,
        request: &GenerateRequest,
        prompt_tokens: usize,
    ) -> Result<(), SubmitRefusal> {
        if self.leaving {
            return Err(SubmitRefusal::Leaving);
        }
        if self.log.is_known(request.attempt) {
            return Err(SubmitRefusal::KnownAttempt);
        }
        if self.batch.waiting() >= self.settings.max_waiting_requests as usize {
            return Err(SubmitRefusal::QueueFull);
        }
        let answer_tokens = (request.max_tokens as usize).max(request.resume_tokens.len());
        let needed_tokens = (prompt_tokens + answer_tokens) as u64;
        let capacity_tokens = self.batch.memory.capacity_tokens();
        if needed_tokens > capacity_tokens && !self.settings.instant {
            return Err(SubmitRefusal::TooLong {
                needed_tokens,
                capacity_tokens,
            });
        }
        Ok(())
    }

    /// Stops an execution; an unknown attempt is ignored. Tokens not put out yet are dropped.
    pub fn cancel(&mut self, now: EngineTime, attempt: AttemptId) {
        self.run_until(now);
        if self.batch.remove(attempt).is_some() {
            self.log.end(self.now, attempt, ExecutionOutcome::Cancelled);
        }
        self.note_load();
    }

    /// Takes a fenced order. Repeating an order changes nothing.
    pub fn order(&mut self, now: EngineTime, order: EngineOrder) -> Result<(), OrderRefusal> {
        self.run_until(now);
        if order.token < self.highest_token {
            return Err(OrderRefusal::Fenced {
                highest: self.highest_token,
            });
        }
        self.highest_token = order.token;
        let EngineAction::LoadVersion { version, location } = order.action;
        self.order_swap(SwapTarget { version, location });
        self.start_next();
        self.run_until(now);
        Ok(())
    }

    /// Tells how an external fetch ended; see [`EngineOutput::FetchWanted`].
    pub fn fetch_finished(&mut self, now: EngineTime, version: VersionNumber, succeeded: bool) {
        self.run_until(now);
        let end = self.swap.fetch_finished(version, succeeded);
        self.end_swap(end);
        self.start_next();
        self.run_until(now);
    }

    /// Moves on to `now` and returns what happened since the last call, in order.
    pub fn advance(&mut self, now: EngineTime) -> Vec<EngineOutput> {
        self.run_until(now);
        std::mem::take(&mut self.outputs)
    }

    /// When [`Self::advance`] has something to do next; `None` when only new input changes that.
    pub fn next_event_at(&self) -> Option<EngineTime> {
        if !self.outputs.is_empty() {
            return Some(self.now);
        }
        self.next_internal_event()
    }

    /// Stops everything and starts again empty, with the initial version and a new boot id. The
    /// highest fencing token is forgotten, as on a machine without a disk.
    pub fn crash(&mut self, now: EngineTime) {
        self.run_until(now);
        self.restart();
    }

    /// Makes the engine say that it is leaving and refuse new requests.
    pub fn leave(&mut self, now: EngineTime) {
        self.run_until(now);
        self.leaving = true;
        self.note_load();
    }

    /// Makes the next swap fail after its load.
    pub fn fail_next_swap(&mut self) {
        self.swap.fail_next();
    }

    /// Sets the factor on computing time from the next iteration on; a factor that is not a
    /// positive number is an error.
    pub fn set_slowness(&mut self, slowness: f64) -> Result<(), InvalidEngineSettings> {
        let mut settings = self.settings.clone();
        settings.compute.slowness = slowness;
        settings.validate()?;
        self.settings = settings;
        Ok(())
    }

    /// The engine's report about itself; it shows what was true some time ago.
    pub fn load_report(&self, now: EngineTime) -> LoadReport {
        match self.load_history.lagging(now) {
            Some(report) => report.clone(),
            None => self.true_load(),
        }
    }

    /// The truth that the report lags behind.
    pub fn true_load(&self) -> LoadReport {
        LoadReport {
            version: self.version,
            swapping: self.swap.is_swapping(),
            failed_swap: self.swap.failed(),
            running: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            kv_used_tokens: self.batch.memory.used_tokens(),
            kv_capacity_tokens: self.batch.memory.capacity_tokens(),
            leaving: self.leaving,
            boot: self.boot,
        }
    }

    /// KV tokens occupied, prefixes kept only as cache included.
    pub fn kv_occupied_tokens(&self) -> u64 {
        self.batch.memory.occupied_tokens()
    }

    /// Context tokens computed in prefill since the first start, repeated ones included.
    pub fn prefilled_tokens(&self) -> u64 {
        self.prefilled_before + self.batch.prefilled_tokens
    }

    /// What ran since the first start, in order of submission: everything, unless the settings bound it.
    pub fn executions(&self) -> &[ExecutionRecord] {
        self.log.records()
    }

    /// Exports the whole computed blocks of an execution; `None` when it does not run.
    pub fn export_kv(&self, attempt: AttemptId) -> Option<KvExport> {
        let version = self.version?;
        let block_hashes = self.batch.sequence(attempt)?.lease.shared_hashes().to_vec();
        let tokens = block_hashes.len() * self.batch.memory.block_tokens();
        let microseconds = tokens as f64 * self.settings.kv.transfer_token_us;
        Some(KvExport {
            version,
            block_hashes,
            transfer: Duration::from_micros(microseconds as u64),
        })
    }

    /// Imports blocks into the prefix cache; they are there when the transfer has ended. Blocks
    /// that find no free space then are dropped.
    pub fn import_kv(&mut self, now: EngineTime, export: KvExport) {
        self.run_until(now);
        let ends_at = self.now + export.transfer;
        self.imports
            .entry(ends_at)
            .or_default()
            .extend(export.block_hashes);
    }
}

fn initial_report(settings: &EngineSettings, boot: u64) -> LoadReport {
    let block_tokens = u64::from(settings.kv.block_tokens);
    LoadReport {
        version: settings.initial_version.map(VersionNumber),
        swapping: false,
        failed_swap: None,
        running: 0,
        waiting: 0,
        kv_used_tokens: 0,
        kv_capacity_tokens: settings.kv.capacity_tokens / block_tokens * block_tokens,
        leaving: false,
        boot,
    }
}
