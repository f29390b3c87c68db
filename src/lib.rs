//! A load balancer for servers whose load shifts within milliseconds.
//!
//! This crate is a thin facade over the crates of the workspace: the decisions
//! of `gentianridge-core` and the files of `gentianridge-config`. The daemon
//! and the command line are in `gentianridge-daemon` and `gentianridge-cli`.
//! The map of crates is in docs/ARCHITECTURE.md.
//!
//! ```
//! let fleet = gentianridge::config::parse_fleet(
//!     "[fleet]\n\
//!      [service recipient]\npath = /recipient\n\
//!      [class recipient.open]\npath = /recipient\nkind = interactive\ndeadline = 500ms\n\
//!      [target recipient.r1]\naddress = 127.0.0.1:9001\ndomain = catania\nslots = 3\n",
//! )?;
//! assert_eq!(fleet.services[0].count_usable_slots(), 3);
//! # Ok::<(), gentianridge::config::FaultReport>(())
//! ```

pub use gentianridge_config as config;
pub use gentianridge_core as core;
