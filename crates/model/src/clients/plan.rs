//! All that a population of clients is played from, and what may be wrong with it.

use thiserror::Error;

use super::{FrontPlan, Habits};
use crate::arrivals::{Load, LoadError};

/// What clients there are and how they behave.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientsPlan {
    /// What they ask for.
    pub load: Load,
    /// How each population behaves, in the order of the load.
    pub habits: Vec<Habits>,
    /// The layer before the nodes.
    pub front: FrontPlan,
    /// Connections that all clients may hold to one node.
    pub room: Option<u32>,
}

/// What is wrong with a plan.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClientsError {
    /// The load cannot be drawn.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// Habits are missing, or are there for no population.
    #[error("{habits} habits for {populations} populations")]
    Habits {
        /// How many habits there are.
        habits: usize,
        /// How many populations.
        populations: usize,
    },
    /// A habit cannot be used.
    #[error("habits of population {population:?}: {field} {fault}")]
    Habit {
        /// The population's name.
        population: String,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        fault: &'static str,
    },
    /// A given arrival names a population or class that there is not, or comes before the one before it.
    #[error("arrival {0} does not fit the load")]
    Arrival(u64),
    /// Nobody to ask.
    #[error("there are no nodes")]
    NoNodes,
    /// No connection could be opened.
    #[error("room must be above 0")]
    NoRoom,
}

impl ClientsPlan {
    /// Whether it can be played.
    ///
    /// # Errors
    /// The first field that cannot be used.
    pub fn check(&self) -> Result<(), ClientsError> {
        self.load.check()?;
        let (habits, populations) = (self.habits.len(), self.load.populations.len());
        if habits != populations {
            return Err(ClientsError::Habits { habits, populations });
        }
        if self.front.zones.is_empty() {
            return Err(ClientsError::NoNodes);
        }
        if self.room == Some(0) {
            return Err(ClientsError::NoRoom);
        }
        for (habits, population) in self.habits.iter().zip(&self.load.populations) {
            if let Some((field, fault)) = habits.fault() {
                return Err(ClientsError::Habit { population: population.name.clone(), field, fault });
            }
        }
        Ok(())
    }
}
