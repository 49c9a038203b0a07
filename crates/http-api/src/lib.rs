//! The HTTP interface of a node: callers in the OpenAI dialect, trainers, operators, and the
//! probes and metrics of the machine it runs on. It translates only; every decision is the
//! node's.

pub mod answer_stream;
pub mod error;
pub mod error_code;
pub mod extract;
pub mod headers;
pub mod kinds;
pub mod openai;
pub mod record_requests;
pub mod router;
pub mod routes;
pub mod server;
pub mod settings;
pub mod state;

pub use server::serve;
pub use settings::HttpApiSettings;
