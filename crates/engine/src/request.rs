//! The request of a transaction, independent of the protocol in which the client sent it.

use lapisrudder_codec::memcache::OwnedRequest;
use lapisrudder_decisions::{Key, Micros, NewRequest, RequestId};

/// A parsed client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as members get it: key, id, value and list of options, parsed once. Hosts with another
    /// client protocol build it by [`OwnedRequest::compose`].
    pub command: OwnedRequest,
    /// A hash of the key, the same at every balancer.
    pub key: Key,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
    /// Rough cost in time on a standard core.
    pub hint: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeated: bool,
    /// Deadline of its final answer, limited to [`MAX_TRANSACTION_TIME`](crate::MAX_TRANSACTION_TIME) after
    /// it was taken.
    pub due: Micros,
    /// How much longer the client waits: the host subtracts this from the client's deadline so that the
    /// answer arrives in time.
    pub reserve: Micros,
}

impl Request {
    /// A request without tenant, hint and reserve that is not marked as a repeat.
    pub fn new(command: OwnedRequest, key: Key, class: usize, due: Micros) -> Request {
        Request { command, key, class, tenant: 0, hint: None, repeated: false, due, reserve: 0 }
    }

    /// The request as an event for the decisions.
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
