//! A load balancer for servers whose load changes within milliseconds.
//!
//! This crate re-exports `gentianridge-core`, which makes the balancing decisions,
//! and `gentianridge-config`, which parses the configuration files. The daemon and
//! the command line are in `gentianridge-daemon` and `gentianridge-cli`.
//! docs/ARCHITECTURE.md describes all crates.
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
