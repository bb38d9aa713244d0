//! The configuration of [`Clients`](super::Clients), and its validation.

use thiserror::Error;

use super::{FrontPlan, Habits};
use crate::arrivals::{Load, LoadError};

/// The load, how its clients behave, and the load balancer in front of the nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientsPlan {
    /// The requests that clients send.
    pub load: Load,
    /// How each population behaves, in the order of [`Load::populations`].
    pub habits: Vec<Habits>,
    /// The load balancer in front of the nodes.
    pub front: FrontPlan,
    /// Maximum number of connections that all clients together hold to one node; `None` for no limit.
    pub max_connections_per_node: Option<u32>,
}

/// Why a plan is invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClientsError {
    /// The load is invalid.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The number of habits differs from the number of populations.
    #[error("{habits} habits for {populations} populations")]
    Habits {
        /// Number of habits.
        habits: usize,
        /// Number of populations.
        populations: usize,
    },
    /// A field of a population's habits is invalid.
    #[error("habits of population {population:?}: {field} {fault}")]
    Habit {
        /// The population's name.
        population: String,
        /// The field.
        field: &'static str,
        /// Why the field is invalid.
        fault: &'static str,
    },
    /// A given arrival refers to a population or class that does not exist, or is earlier than its
    /// predecessor.
    #[error("arrival {0} does not fit the load")]
    Arrival(u64),
    /// The plan has no node to send requests to.
    #[error("there are no nodes")]
    NoNodes,
    /// The connection limit is 0, so that no connection could be opened.
    #[error("max_connections_per_node must be above 0")]
    NoConnections,
}

impl ClientsPlan {
    /// Validates the plan.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn check(&self) -> Result<(), ClientsError> {
        self.load.check()?;
        let (habits, populations) = (self.habits.len(), self.load.populations.len());
        if habits != populations {
            return Err(ClientsError::Habits { habits, populations });
        }
        if self.front.zones.is_empty() {
            return Err(ClientsError::NoNodes);
        }
        if self.max_connections_per_node == Some(0) {
            return Err(ClientsError::NoConnections);
        }
        for (habits, population) in self.habits.iter().zip(&self.load.populations) {
            if let Some((field, fault)) = habits.fault() {
                return Err(ClientsError::Habit { population: population.name.clone(), field, fault });
            }
        }
        Ok(())
    }
}
