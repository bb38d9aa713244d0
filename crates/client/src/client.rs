//! [`Client`], the handle through which callers send requests to the thread of the plug-in.

use crate::builder::{Builder, ClassName};
use crate::future::ResponseFuture;
use crate::queue::{Command, Queue, Reply};
use crate::request::Request;
use crate::response::{BadRequest, Error, Response};
use crate::stats::{Phase, Stats};
use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_config::digest;
use lapisrudder_decisions::{Key, RequestId};
use lapisrudder_engine as engine;
use lapisrudder_host::Clock;
use std::fmt;
use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio_util::sync::PollSemaphore;
use tower_service::Service;
use tracing::{Span, debug_span, field::Empty};

/// State that all clones of a client share.
pub(crate) struct Shared {
    pub name: String,
    pub queue: Arc<Queue>,
    /// One permit for each request that may be in flight.
    pub permits: Arc<Semaphore>,
    pub clock: Clock,
    pub classes: Vec<ClassName>,
    /// The number of the next request. With `id_salt` it makes an id that no other instance of the service
    /// uses.
    pub next_number: AtomicU64,
    pub id_salt: u64,
}

/// Owned by all clones together. Dropping it with the last clone makes the thread end once all requests are
/// answered.
pub(crate) struct Handle {
    pub shared: Shared,
    pub stats: watch::Receiver<Stats>,
    closing: AtomicBool,
}

impl Handle {
    fn close(&self) {
        if !self.shared.queue.is_forked() && !self.closing.swap(true, Ordering::AcqRel) {
            self.shared.permits.close();
            self.shared.queue.push(Command::Close);
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.close();
    }
}

/// The plug-in, as a [`Service`]. Clones are cheap and share one thread, one set of connections and one limit
/// of requests in flight. See the [crate](crate) for an example.
pub struct Client {
    handle: Arc<Handle>,
    permits: PollSemaphore,
    /// The permit that `poll_ready` has reserved for the next call.
    reserved: Option<OwnedSemaphorePermit>,
}

impl Client {
    /// Returns a builder with the default configuration.
    pub fn builder() -> Builder {
        Builder::default()
    }

    pub(crate) fn new(shared: Shared, stats: watch::Receiver<Stats>) -> Client {
        let permits = PollSemaphore::new(shared.permits.clone());
        let handle = Arc::new(Handle { shared, stats, closing: AtomicBool::new(false) });
        Client { handle, permits, reserved: None }
    }

    /// Sends a request as soon as the limit of requests in flight allows: [`poll_ready`](Service::poll_ready)
    /// and [`call`](Service::call) in one.
    ///
    /// # Errors
    /// Those of [`call`](Service::call).
    pub async fn ask(&self, request: Request) -> Result<Response, Error> {
        let mut client = self.clone();
        poll_fn(|cx| client.poll_ready(cx)).await?;
        client.call(request).await
    }

    /// Waits until the list of members names a server that may get new requests, for use in a readiness
    /// probe. Requests may be sent before that.
    ///
    /// # Errors
    /// [`Error::Closed`] if the plug-in has been closed.
    pub async fn listed(&self) -> Result<(), Error> {
        let mut stats = self.handle.stats.clone();
        let usable = stats.wait_for(|stats| stats.phase == Phase::Serving && stats.any_open()).await;
        usable.map(drop).map_err(|_| Error::Closed)
    }

    /// Returns the counters of the plug-in, at most 100 ms old.
    pub fn stats(&self) -> Stats {
        self.handle.stats.borrow().clone()
    }

    /// Returns a receiver of the counters, updated when they change, at most ten times a second. The channel
    /// closes when the plug-in ends.
    pub fn watch(&self) -> watch::Receiver<Stats> {
        self.handle.stats.clone()
    }

    /// Closes the plug-in for all clones. The future waits until all requests accepted before are answered,
    /// each by its deadline. A closed plug-in cannot be reopened.
    pub fn close(&self) -> impl Future<Output = ()> + Send + use<> {
        self.handle.close();
        let forked = self.handle.shared.queue.is_forked();
        let mut stats = self.handle.stats.clone();
        async move {
            // The thread owns the sender, so the channel closes when the thread ends.
            while !forked && stats.changed().await.is_ok() {}
        }
    }

    fn submit(&mut self, request: Request, span: impl FnOnce(&str, &str) -> Span) -> ResponseFuture {
        let Handle { shared, .. } = &*self.handle;
        let number = shared.next_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", shared.id_salt.wrapping_add(number).wrapping_mul(ID_MULTIPLIER));
        let name = request.class.as_deref();
        let classes = &shared.classes;
        let class = name.map_or(Some(0), |name| classes.iter().position(|c| *c.name == *name));
        let span = span(&id, name.unwrap_or_default());
        match self.compose(request, &id, class) {
            Ok((composed, permit)) => {
                let Handle { shared, .. } = &*self.handle;
                let number = RequestId(number);
                let (sender, receiver) = oneshot::channel();
                let reply = Reply { sender, permit };
                match shared.queue.push(Command::Submit { id: number, request: composed, reply }) {
                    true => ResponseFuture::pending(number, receiver, shared.queue.clone(), span),
                    false => ResponseFuture::rejected(Error::Closed, span),
                }
            }
            Err(error) => ResponseFuture::rejected(error, span),
        }
    }

    /// Converts the request to the form of the engine, and takes the permit for it.
    fn compose(
        &mut self,
        request: Request,
        id: &str,
        class: Option<usize>,
    ) -> Result<(engine::Request, OwnedSemaphorePermit), Error> {
        let Handle { shared, .. } = &*self.handle;
        let permit = match self.reserved.take() {
            Some(permit) => permit,
            None => shared.permits.clone().try_acquire_owned().map_err(|e| match e {
                tokio::sync::TryAcquireError::Closed => Error::Closed,
                tokio::sync::TryAcquireError::NoPermits => Error::NotReady,
            })?,
        };
        let class = class.ok_or(BadRequest::UnknownClass)?;
        let name = shared.classes.get(class).ok_or(BadRequest::UnknownClass)?;
        let now = shared.clock.now();
        let deadline = request.deadline.map_or(now + name.default_timeout, |at| shared.clock.at(at));
        let parts = RequestParts {
            key: &request.key,
            id: request.id.as_deref().unwrap_or(id.as_bytes()),
            class: name.name.as_bytes(),
            wait_ms: (deadline - now).max(0) as u64 / 1000,
            value: request.value.as_deref(),
            idempotency: request.idempotency.as_deref(),
            repeated: request.repeated,
        };
        let command = OwnedRequest::compose(&parts).map_err(BadRequest::Command)?;
        let key = Key(digest(&String::from_utf8_lossy(&request.key)));
        let repeated = request.repeated;
        Ok((engine::Request { repeated, ..engine::Request::new(command, key, class, deadline) }, permit))
    }
}

/// Multiplier that spreads consecutive numbers over 64 bits: the increment of SplitMix64 (Steele, Lea, Flood
/// 2014). It is odd, so the product stays a bijection and no two requests of one client get the same id.
const ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Service<Request> for Client {
    type Response = Response;
    type Error = Error;
    type Future = ResponseFuture;

    /// Reserves a permit for one request in flight. Clones that wait for a permit get one in first-in,
    /// first-out order. The permit is kept until the next call, or until this clone is dropped.
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        if self.handle.shared.queue.is_forked() {
            return Poll::Ready(Err(Error::Closed));
        }
        if self.reserved.is_none() {
            self.reserved = ready!(self.permits.poll_acquire(cx));
        }
        Poll::Ready(self.reserved.as_ref().map(drop).ok_or(Error::Closed))
    }

    fn call(&mut self, request: Request) -> ResponseFuture {
        let (write, name) = (request.is_write(), self.handle.shared.name.clone());
        self.submit(
            request,
            |id, class| debug_span!("lapisrudder", service = %name, id, class, write, outcome = Empty),
        )
    }
}

impl Clone for Client {
    /// The clone has no permit reserved, and queues for one by itself.
    fn clone(&self) -> Self {
        Client { handle: self.handle.clone(), permits: self.permits.clone(), reserved: None }
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("name", &self.handle.shared.name).finish_non_exhaustive()
    }
}
