//! A discrete-event model of entries and agents that runs the real decisions in virtual time,
//! with message delays and fixed seeds.

pub mod entry;
pub mod load;
pub mod reference;
pub mod report;
pub mod simulation;
