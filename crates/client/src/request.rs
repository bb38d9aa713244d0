//! [`Request`]: a read or a write that a caller sends.

use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A read or a write of one key.
///
/// A request may be cloned and sent again, as tower's retry layer does: each call is a new request with an id
/// of its own. A write that may have run is safe to send again only with the same
/// [idempotency key](Request::idempotency), and within the idempotency window of its class.
#[derive(Clone, Debug)]
pub struct Request {
    pub(crate) key: Bytes,
    pub(crate) value: Option<Bytes>,
    pub(crate) class: Option<Arc<str>>,
    pub(crate) deadline: Option<Instant>,
    pub(crate) idempotency: Option<Bytes>,
    pub(crate) id: Option<Bytes>,
    pub(crate) repeated: bool,
}

impl Request {
    /// A read of a key: 1 to 250 printable ASCII characters without spaces.
    pub fn read(key: impl Into<Bytes>) -> Request {
        Request {
            key: key.into(),
            value: None,
            class: None,
            deadline: None,
            idempotency: None,
            id: None,
            repeated: false,
        }
    }

    /// A write of a value of at most 4 MiB under a key.
    pub fn write(key: impl Into<Bytes>, value: impl Into<Bytes>) -> Request {
        Request { value: Some(value.into()), ..Request::read(key) }
    }

    /// Sets the class of the request, by its name in the settings. Default: the first class.
    #[must_use]
    pub fn class(mut self, name: impl Into<Arc<str>>) -> Request {
        self.class = Some(name.into());
        self
    }

    /// Sets the deadline to this long from now. Time that the request spends in the queue of a tower layer
    /// counts.
    #[must_use]
    pub fn within(self, time: Duration) -> Request {
        // A deadline beyond the range of `Instant` counts as none.
        let deadline = Instant::now().checked_add(time);
        Request { deadline, ..self }
    }

    /// Sets the deadline. Default: the timeout of the class, counted from the call.
    #[must_use]
    pub fn due(mut self, at: Instant) -> Request {
        self.deadline = Some(at);
        self
    }

    /// Sets the idempotency key of a write. Servers execute writes with the same key only once within the
    /// idempotency window of their class, regardless of who sends them. Printable ASCII characters without
    /// spaces and commas.
    #[must_use]
    pub fn idempotency(mut self, key: impl Into<Bytes>) -> Request {
        self.idempotency = Some(key.into());
        self
    }

    /// Marks the request as a repeat of one that the caller has sent before without getting an answer.
    #[must_use]
    pub fn repeated(mut self, repeated: bool) -> Request {
        self.repeated = repeated;
        self
    }

    /// Sets the id of the request, which servers receive and log. Default: a new one for each call. An id
    /// must never be used twice, so a request with an id set here cannot be sent again.
    #[must_use]
    pub fn id(mut self, id: impl Into<Bytes>) -> Request {
        self.id = Some(id.into());
        self
    }

    /// Returns the key.
    pub fn key(&self) -> &[u8] {
        &self.key
    }

    /// Whether the request is a write.
    pub fn is_write(&self) -> bool {
        self.value.is_some()
    }
}
