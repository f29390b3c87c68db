//! Callers outside the limits of the configuration and targets that send without end, against
//! a daemon in a process of its own.
//!
//! Each test keeps a crowd of callers open, and checks that the process lives, that its memory
//! and its descriptors stay below those of its VM, and that an ordinary request is answered.

mod answers;
mod bodies;
mod connections;
mod crowd;
mod endless_answers;
mod env;
mod heads;
mod uploads;
mod vm_process;
