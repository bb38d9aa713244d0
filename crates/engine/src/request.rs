//! What a transaction is about, whatever front took it.

use lapisrudder_codec::memcache::OwnedRequest;
use lapisrudder_decisions::{Key, Micros, NewRequest, RequestId};

/// A client's request, typed.
#[derive(Clone, Debug)]
pub struct Request {
    /// What members get: key, id, value and list, parsed once. Fronts of other protocols compose one
    /// ([`OwnedRequest::compose`]).
    pub command: OwnedRequest,
    /// A hash of the key, the same at every balancer.
    pub key: Key,
    /// Its class, as a place in the settings.
    pub class: usize,
    /// Its tenant, as a place in the settings.
    pub tenant: usize,
    /// Rough cost on a standard core.
    pub hint: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeated: bool,
    /// When its final answer is given at the latest. Held to [`MAX_TRANSACTION_TIME`](crate::MAX_TRANSACTION_TIME) from when it is taken.
    pub due: Micros,
    /// The client waits so much longer: what the host keeps back so that the answer is in time.
    pub reserve: Micros,
}

impl Request {
    /// A request of no tenant, with no hint and no reserve, that is not marked as a repeat.
    pub fn new(command: OwnedRequest, key: Key, class: usize, due: Micros) -> Request {
        Request { command, key, class, tenant: 0, hint: None, repeated: false, due, reserve: 0 }
    }

    /// The same for the decisions.
    pub(crate) fn event(&self, request: RequestId) -> NewRequest {
        NewRequest {
            request,
            key: Some(self.key),
            write: self.command.is_write(),
            class: self.class,
            tenant: self.tenant,
            hint: self.hint,
            repeated: self.repeated,
            due: self.due,
            reserve: self.reserve,
        }
    }
}
