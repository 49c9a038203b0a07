//! Help texts. Each names every option and shows one example.

/// The program as a whole.
pub const PROGRAM: &str = "\
havenstage - rollout service between callers, trainers and model engines

usage: havenstage COMMAND [OPTIONS]

commands:
  serve     run the rollout service in one process, with a store in memory
  node      run a node
  ctl       create, read and watch resources; ask why things happened
  standin   run a stand-in of a platform service, for tests and trials
  simulate  search seeded faults for a broken promise, on a virtual clock
  check     judge a recorded history
  bench     measure the system
  demo      run the whole path in one process and count what came of it

options:
  -h, --help   show this text, or that of a command
  --version    show the version

exit codes: 0 ok, 1 failed, 2 usage or settings, 3 conflict, 4 outcome unknown

example:
  havenstage node --config node.toml
";

/// `havenstage serve`
pub const SERVE: &str = "\
havenstage serve - run the rollout service in one process

usage: havenstage serve [--config FILE] [OPTIONS]

Runs the gateway with a store in the memory of the process. Without a file it serves the model
policy on two emulated engines: batches of samples at /v1/batches/ and completions at
/v1/completions. Nothing outlives the process. Logs are JSON lines on standard output.

options (each stands before the file's value):
  --config FILE      settings, in TOML; every key has a default
  --check-config     check the settings and exit
  --callers ADDR     IP:PORT for callers and trainers (default 127.0.0.1:7800)
  --operators ADDR   IP:PORT for operators, asked with ctl get (default 127.0.0.1:7801)
  --ready ADDR       IP:PORT that tells whether it takes requests (default 127.0.0.1:7802)

SIGTERM or SIGINT starts a planned stop: no new work, work in flight finishes, exit 0.

exit codes: 0 ok, 1 failed (such as an address in use), 2 usage or settings

example:
  havenstage serve --callers 127.0.0.1:7800
";

/// `havenstage node`
pub const NODE: &str = "\
havenstage node - run a node

usage: havenstage node [--config FILE] [OPTIONS]

options (each stands before the file's value):
  --config FILE              settings, in TOML
  --check-config             check the settings and exit
  --name NAME                name of the node
  --zone ZONE                zone of the machine
  --peer-address ADDR        IP:PORT for other nodes
  --http-address ADDR        IP:PORT for callers, trainers and operators
  --log-address ADDR         IP:PORT of the log service
  --machines-address ADDR    IP:PORT of the machine list
  --scorer-address ADDR      IP:PORT of the scorer
  --weights-address ADDR     IP:PORT of the weight store
  --seed ADDR                peer address of a node to join; may be repeated

SIGTERM or SIGINT starts a planned stop: no new work, work in flight finishes, exit 0.
A second signal only logs what the node still waits for.

exit codes: 0 ok, 1 failed (such as an address in use), 2 usage or settings

example:
  havenstage node --config node.toml --zone bilbao-a
";

/// `havenstage ctl`
pub const CTL: &str = "\
havenstage ctl - the operator's tool

usage: havenstage ctl --server ADDR [OPTIONS] ACTION

actions:
  apply -f FILE                    create or update the resources of a .json or .toml file
  get KIND NAME                    show a resource
  list KIND                        show all resources of a kind
  watch KIND                       show changes of a kind as they happen
  delete KIND NAME                 delete a resource
  explain SUBJECT                  why: a request id, an engine, a sample JOB/STEP/INDEX (of serve:
                                   BATCH/SAMPLE, a batch, a model)
  drain ENGINE                     let an engine finish its work and give it no more
  undrain ENGINE                   give an engine work again
  status                           what the node knows about itself
  versions publish MODEL NUMBER --location LOCATION
                                   publish a weight version

kinds of havenstage node: Job, WeightVersion, Pool, PriorityRule, Engine
kinds of havenstage serve: pools, routes, engines; get shows what it was told by its directories and
how old that is, with a name or all; changes are waited for

options:
  --server ADDR       IP:PORT of any node
  -o json             print JSON instead of tables
  --wait              wait until a change is in force on every node
  --change-id ID      repeat an earlier change; without it an id is drawn at random
  --retry-for SECONDS how long a change with unknown outcome is repeated (default 60)

A manifest without a revision is applied against the revision found on the server; with one,
a resource at another revision is a conflict.

exit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 outcome unknown (repeat with --change-id)

example:
  havenstage ctl --server 10.0.0.1:7400 apply -f pool.toml --wait
";

/// `havenstage standin`
pub const STANDIN: &str = "\
havenstage standin - run a stand-in of a platform service

usage: havenstage standin SERVICE --listen ADDR [--config FILE]
       havenstage standin misbehave ADDR JSON

services: log, engine, weights, machines, scorer, trainer

options:
  --listen ADDR   IP:PORT to serve on
  --config FILE   settings of the service, in TOML

misbehave sends a command to a running stand-in.

exit codes: 0 ok, 1 failed, 2 usage or settings

example:
  havenstage standin log --listen 127.0.0.1:7500
";

/// `havenstage check`
pub const CHECK: &str = "\
havenstage check - judge a recorded history against the promises

usage: havenstage check HISTORY [--bounds FILE]

  HISTORY         recorded events, a JSON object a line
  --bounds FILE   times and jobs of the run, in TOML; without jobs, staleness and
                  completeness of samples are not judged

exit codes: 0 no promise is broken, 1 a promise is broken or the file cannot be read, 2 usage

example:
  havenstage check run.jsonl --bounds bounds.toml
";

/// `havenstage simulate`
pub const SIMULATE: &str = "\
havenstage simulate - search seeded faults for a broken promise, on a virtual clock

usage: havenstage simulate [OPTIONS]
       havenstage simulate --replay FILE

Runs the real node code with simulated engines, platform and network. Each seed draws a schedule of
faults; what callers, engines, trainers and operators saw is judged by the history checker. The
schedule of a failing seed is shrunk and printed.

options:
  --deployment NAME   cobrasur (default) or po-valley: zones, pools and numbers of engines
  --seeds N           seeds to try (default 100)
  --first N           first seed (default 0)
  --threads N         seeds run at once (default 4)
  --failures DIR      also write each failure into this directory, to be replayed
  --replay FILE       run one written failure again

exit codes: 0 no promise is broken, 1 otherwise, 2 usage

example:
  havenstage simulate --seeds 200 --deployment po-valley
";

/// `havenstage bench`
pub const BENCH: &str = "\
havenstage bench - measure the system

usage: havenstage bench latency [OPTIONS]
       havenstage bench latency --engine ADDR --home ADDR --front ADDR --pool NAME [OPTIONS]

latency measures the time a node adds to a request against calling the engine directly, and the
requests a second one node serves. Without addresses it starts everything in this process, each
node on two threads. With addresses it measures an engine that answers at once and two nodes.

options:
  --seconds N               time of the whole measurement (default 60)
  --rounds N                alternations of the latency cases (default 10)
  --latency-connections N   connections while latency is measured (default 1)
  --connections N           connections while throughput is measured (default 64)
  --json FILE               also write the report as JSON
  --engine ADDR             IP:PORT of the engine
  --home ADDR               IP:PORT of the node that is the engine's home
  --front ADDR              IP:PORT of another node
  --pool NAME               pool whose only engine that is
  --home-process PID        process of the home, to measure its CPU time and memory
  --front-process PID       process of the other node

exit codes: 0 ok, 1 failed, 2 usage

example:
  havenstage bench latency --seconds 120 --json latency.json
";

/// `havenstage demo`
pub const DEMO: &str = "\
havenstage demo - the whole path in one process, on loopback

usage: havenstage demo [OPTIONS]

Starts stand-ins of the platform and of the engines, three nodes, a trainer and live callers,
runs a training job to its end, and counts from the records of stand-ins and callers what came
of it. The result is printed on standard output, the progress on standard error.

options:
  --deployment NAME   cobrasur (default) or po-valley: zones, pools and numbers of engines
  --prompts FILE      prompts of the job: a text file (a paragraph is a prompt) or a file of JSON
                      lines with a field prompt or text; without it the built-in ones are taken
  --steps N           training steps, 1 to 1000 (default 12)
  --samples N         samples of a step, 4 to 4096, a multiple of 4 (default 48)
  --chaos             meanwhile stop one node as planned, crash one engine, drain another
  --hold              at the end keep everything running until SIGINT, to look around with ctl
  --json              print the result as JSON

exit codes: 0 the job ended and no promise is broken, 1 otherwise, 2 usage or prompts file

example:
  havenstage demo --deployment po-valley --chaos
";
