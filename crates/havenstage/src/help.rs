//! Help texts. Each names every option and shows one example.

/// The program as a whole.
pub const PROGRAM: &str = "\
havenstage - rollout service between callers, trainers and model engines

usage: havenstage COMMAND [OPTIONS]

commands:
  node      run a node
  ctl       create, read and watch resources; ask why things happened
  standin   run a stand-in of a platform service, for tests and trials
  check     judge a recorded history
  bench     measure the system

options:
  -h, --help   show this text, or that of a command
  --version    show the version

exit codes: 0 ok, 1 failed, 2 usage or settings, 3 conflict, 4 outcome unknown

example:
  havenstage node --config node.toml
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
  explain SUBJECT                  why: a request id, a sample JOB/STEP/INDEX or an engine
  drain ENGINE                     let an engine finish its work and give it no more
  undrain ENGINE                   give an engine work again
  status                           what the node knows about itself
  versions publish MODEL NUMBER --location LOCATION
                                   publish a weight version

kinds: Job, WeightVersion, Pool, PriorityRule, Engine

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
