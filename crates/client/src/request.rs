//! What a caller asks for.

use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A read or a write of one key.
///
/// It may be cloned and called again, as tower's retry layer does: each call is a new request with an id of its own.
/// A write that may have run is safe to call again only with the same [idempotency key](Request::idempotency), and
/// within the window of its class.
#[derive(Clone, Debug)]
pub struct Request {
    pub(crate) key: Bytes,
    pub(crate) value: Option<Bytes>,
    pub(crate) class: Option<Arc<str>>,
    pub(crate) due: Option<Instant>,
    pub(crate) idempotency: Option<Bytes>,
    pub(crate) id: Option<Bytes>,
    pub(crate) repeated: bool,
}

impl Request {
    /// Reads a key: 1 to 250 printable ASCII characters without spaces.
    pub fn read(key: impl Into<Bytes>) -> Request {
        Request {
            key: key.into(),
            value: None,
            class: None,
            due: None,
            idempotency: None,
            id: None,
            repeated: false,
        }
    }

    /// Writes a key; a value holds at most 4 MiB.
    pub fn write(key: impl Into<Bytes>, value: impl Into<Bytes>) -> Request {
        Request { value: Some(value.into()), ..Request::read(key) }
    }

    /// The class, as the settings name it; the first of them if none is stated.
    #[must_use]
    pub fn class(mut self, name: impl Into<Arc<str>>) -> Request {
        self.class = Some(name.into());
        self
    }

    /// The answer is of use for this long, counted from now: also while the request waits in a layer's queue.
    #[must_use]
    pub fn within(self, time: Duration) -> Request {
        // Beyond what the clock can tell is as good as no deadline of the caller's own.
        let due = Instant::now().checked_add(time);
        Request { due, ..self }
    }

    /// The answer is of use until then. Without a deadline it is the class's, counted from the call.
    #[must_use]
    pub fn due(mut self, at: Instant) -> Request {
        self.due = Some(at);
        self
    }

    /// Names the write, so that servers carry it out once within the window of its class, whoever sends it however
    /// often: printable ASCII characters without spaces and commas.
    #[must_use]
    pub fn idempotency(mut self, key: impl Into<Bytes>) -> Request {
        self.idempotency = Some(key.into());
        self
    }

    /// Says that the caller has sent this before and got no answer.
    #[must_use]
    pub fn repeated(mut self, repeated: bool) -> Request {
        self.repeated = repeated;
        self
    }

    /// Sets the request's id, which servers and their logs see, in place of one made up for each call. It must never
    /// be used twice, so a request with one cannot be called again.
    #[must_use]
    pub fn id(mut self, id: impl Into<Bytes>) -> Request {
        self.id = Some(id.into());
        self
    }

    /// The key.
    pub fn key(&self) -> &[u8] {
        &self.key
    }

    /// It is a write.
    pub fn is_write(&self) -> bool {
        self.value.is_some()
    }
}
