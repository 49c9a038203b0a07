//! Experiments: a deployment under live load, training and faults on the virtual clock, driven by
//! the real node code, and what came of it.
//!
//! The same file and seed give the same digits, on any machine and however many runs go on beside.

pub mod compare;
pub mod error;
mod faults;
mod live;
pub mod lower_bound;
mod observe;
pub mod page;
pub mod report;
mod resources;
pub mod run;
pub mod settings;
mod settings_check;
mod settings_file;
pub mod table;
mod trainer;

pub use error::ExperimentError;
pub use report::Report;
pub use run::run;
pub use settings::Experiment;
