//! HTTP clients of the platform's services and of engines: one module for each wire format. Each
//! module also defines the bodies it sends and receives, so that servers can use the same types.

pub mod engine;
pub mod http_client;
pub mod log_service;
pub mod machine_list;
pub mod scorer;
pub mod traffic;
pub mod weight_store;
