//! `havenstage demo`: the whole path in one process on loopback, and a count of what came of it.

mod call;
mod callers;
mod chaos;
mod console;
mod evidence;
mod nodes;
mod operator;
mod options;
mod platform;
mod prompts;
mod recorder;
mod report;
mod resources;
mod summary;
mod training;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use havenstage_history::checker::{Bounds, JobBounds, check};
use havenstage_history::event::EventSource;
use havenstage_history::event::caller::CallClass;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_simulator::deployment::DeploymentSettings;
use havenstage_standin::trainer::TrainerRecord;
use havenstage_types::codec;
use havenstage_types::ids::{LogOffset, streams};
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::arguments::CommandLine;
use crate::commands::{block_on, print};
use crate::exit::Failure;
use crate::logging::{self, LogLevel, LoggingSettings};
use call::CallClient;
use callers::{CallerRecord, Callers};
use chaos::{Chaos, ChaosRecord};
use console::Console;
use evidence::JobStream;
use nodes::Nodes;
use operator::Operator;
use options::DemoOptions;
use platform::Platform;
use recorder::Recorder;
use resources::{Names, STALENESS_BOUND};
use summary::{Sources, Summary};
use training::Training;

/// Longest time that what a process sent may need to be seen, on a busy machine.
const DELIVERY_SLACK_MS: u64 = 500;

/// The run did not end as promised.
#[derive(Debug, Error)]
#[error("the run is not clean: see the table")]
struct NotClean;

/// Runs the command.
pub fn run(line: CommandLine) -> Result<(), Failure> {
    let options = DemoOptions::read(line)?;
    let prompts = prompts::read(options.prompts.as_deref()).map_err(Failure::usage)?;
    let _logger = logging::start(&LoggingSettings {
        level: LogLevel::Error,
    })?;
    block_on(async move {
        let demo = Demo::start(options).await?;
        demo.run(prompts).await
    })
}

/// Everything that runs.
struct Demo {
    options: DemoOptions,
    deployment: DeploymentSettings,
    names: Names,
    recorder: Arc<Recorder>,
    console: Arc<Console>,
    platform: Arc<Platform>,
    nodes: Arc<Nodes>,
    operator: Arc<Operator>,
}

impl Demo {
    async fn start(options: DemoOptions) -> Result<Self, Failure> {
        let deployment = options.deployment.settings();
        let recorder = Recorder::new();
        let console = Arc::new(Console::new(options.steps * u64::from(options.samples)));
        console.say(&format!(
            "Deployment {}: starting stand-ins of log, machine list, weight store, scorer and {} \
             engines, and three nodes, one in each zone.",
            options.deployment,
            deployment
                .pools
                .iter()
                .map(|pool| pool.engines)
                .sum::<u32>()
        ));
        let platform = Arc::new(Platform::start(&deployment, &recorder).await?);
        let nodes = Nodes::start(&deployment.zones, &platform).await?;
        let operator = Arc::new(Operator::new(nodes.clone(), recorder.clone()));
        Ok(Self {
            names: Names::of(options.deployment),
            options,
            deployment,
            recorder,
            console,
            platform,
            nodes,
            operator,
        })
    }

    async fn run(self, prompts: Vec<String>) -> Result<(), Failure> {
        self.tell_where_to_look();
        let urgent = &self.names.callers[0];
        resources::create_pools(&self.operator, &self.deployment, &self.platform, urgent).await?;
        let (stop_callers, stopped) = watch::channel(false);
        let caller_record = Arc::new(Mutex::new(CallerRecord::default()));
        let callers = self.start_callers(&prompts, &caller_record, &stopped);
        let (trainer, chaos) = self.train(prompts).await?;
        stop_callers.send_replace(true);
        callers.join_all().await;
        self.console.finish();
        let caller_record = caller_record
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let summary = self.judge(&trainer, &caller_record, chaos);
        self.tell(&summary)?;
        self.hold().await?;
        if summary.ok {
            return Ok(());
        }
        Err(Failure::from(NotClean))
    }

    /// Runs the job to its end, with faults if they are asked for.
    async fn train(
        &self,
        prompts: Vec<String>,
    ) -> Result<(TrainerRecord, Option<ChaosRecord>), Failure> {
        let pool = &self.deployment.pools[0];
        let job = &self.names.job;
        self.console.say(&format!(
            "The operator creates job {job}: {} prompts, {} steps of {} samples on pool {}.",
            prompts.len(),
            self.options.steps,
            self.options.samples,
            pool.name
        ));
        resources::create_job(&self.operator, job, pool, prompts, &self.options).await?;
        let (nodes, platform) = (&self.nodes, &self.platform);
        let recorder = self.recorder.clone();
        let training = Training::start(&self.options, job, pool, nodes, platform, recorder);
        let mut training = training.await?;
        self.console.say(
            "The trainer pulls samples step by step, trains, and publishes a new version after \
             each step; every engine swaps to it while it works.",
        );
        let (trainer, chaos) = tokio::join!(training.follow(&self.console), self.cause_chaos());
        Ok((trainer, chaos?))
    }

    async fn cause_chaos(&self) -> Result<Option<ChaosRecord>, Failure> {
        if !self.options.chaos {
            return Ok(None);
        }
        let chaos = Chaos {
            platform: self.platform.clone(),
            nodes: self.nodes.clone(),
            operator: self.operator.clone(),
            pool: self.deployment.pools[0].name.clone(),
            recorder: self.recorder.clone(),
            console: self.console.clone(),
        };
        chaos.run().await.map(Some)
    }

    fn start_callers(
        &self,
        prompts: &[String],
        record: &Arc<Mutex<CallerRecord>>,
        stop: &watch::Receiver<bool>,
    ) -> JoinSet<()> {
        let [first, second] = &self.names.callers;
        self.console.say(&format!(
            "Live callers {first} (urgent) and {second} begin; a third of their requests must run \
             at most once, some are repeated at another node under the same key."
        ));
        let client = CallClient {
            client: HttpClient::new(HttpClientSettings::default()),
            recorder: self.recorder.clone(),
        };
        let mut callers = JoinSet::new();
        for (caller, class) in [(first, CallClass::Urgent), (second, CallClass::Live)] {
            let group = Callers {
                client: client.clone(),
                nodes: self.nodes.clone(),
                caller: caller.clone(),
                class,
                pools: self
                    .deployment
                    .pools
                    .iter()
                    .map(|pool| pool.name.clone())
                    .collect(),
                prompts: prompts.to_vec(),
                record: record.clone(),
            };
            callers.spawn(group.run(stop.clone()));
        }
        callers
    }

    /// Judges the run by the records of stand-ins and callers.
    fn judge(
        &self,
        trainer: &TrainerRecord,
        callers: &CallerRecord,
        chaos: Option<ChaosRecord>,
    ) -> Summary {
        let stream = self.job_stream();
        for body in evidence::commits(&stream, STALENESS_BOUND) {
            self.recorder.record(EventSource::Platform, body);
        }
        let mut history = self.recorder.events();
        history.extend(evidence::executions(&self.platform.engines, &history));
        let report = check(&history, &self.bounds());
        Summary::new(&Sources {
            wanted: self.options.steps * u64::from(self.options.samples),
            trainer,
            stream: &stream,
            callers,
            history: &history,
            report: &report,
            chaos,
        })
    }

    fn job_stream(&self) -> JobStream {
        let payloads = self
            .platform
            .log
            .state()
            .stream(&streams::job(&self.names.job));
        let records = payloads.iter().enumerate().filter_map(|(offset, payload)| {
            let record = codec::decode(payload).ok()?;
            Some((LogOffset(offset as u64), record))
        });
        records.collect()
    }

    fn bounds(&self) -> Bounds {
        let job = JobBounds {
            model: self.deployment.pools[0].model.clone(),
            staleness_bound: STALENESS_BOUND,
            samples_per_step: self.options.samples,
        };
        Bounds {
            delivery_slack_ms: DELIVERY_SLACK_MS,
            jobs: BTreeMap::from([(self.names.job.clone(), job)]),
            ..Bounds::default()
        }
    }

    fn tell_where_to_look(&self) {
        for node in self.nodes.all() {
            self.console.say(&format!(
                "  {} in zone {}: http://{}",
                node.name(),
                node.zone(),
                node.http_address
            ));
        }
        let server = self.nodes.all()[0].http_address;
        let job = &self.names.job;
        self.console.say(&format!(
            "While it runs, look around from another terminal:\n  \
             havenstage ctl --server {server} status\n  \
             havenstage ctl --server {server} watch WeightVersion\n  \
             havenstage ctl --server {server} explain {job}/0/0    (why a sample ran where it ran)\n  \
             curl {server}/metrics"
        ));
    }

    fn tell(&self, summary: &Summary) -> Result<(), Failure> {
        if self.options.json {
            let json = serde_json::to_string_pretty(summary)?;
            return print(&format!("{json}\n"));
        }
        print(&report::render(summary))
    }

    async fn hold(&self) -> Result<(), Failure> {
        if self.options.hold {
            self.console
                .say("Everything keeps running until SIGINT (Ctrl-C).");
            tokio::signal::ctrl_c().await?;
        }
        Ok(())
    }
}
