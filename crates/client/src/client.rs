//! The handle that callers have.

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

/// What clients and their thread share.
pub(crate) struct Shared {
    pub name: String,
    pub queue: Arc<Queue>,
    pub places: Arc<Semaphore>,
    pub clock: Clock,
    pub classes: Vec<ClassName>,
    /// Requests taken; each is a number, and with `salt` an id that no other copy has.
    pub taken: AtomicU64,
    pub salt: u64,
}

/// Goes with the last clone, and has the thread end once all is answered.
pub(crate) struct Handle {
    pub shared: Shared,
    pub stats: watch::Receiver<Stats>,
    closing: AtomicBool,
}

impl Handle {
    fn close(&self) {
        if !self.shared.queue.is_forked() && !self.closing.swap(true, Ordering::AcqRel) {
            self.shared.places.close();
            self.shared.queue.push(Command::Close);
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.close();
    }
}

/// The plug-in, as a [`Service`]. Clones are cheap and share one thread, one set of connections and one limit of
/// requests in flight. See the [crate](crate) for an example.
pub struct Client {
    handle: Arc<Handle>,
    places: PollSemaphore,
    /// A place kept for the next call.
    place: Option<OwnedSemaphorePermit>,
}

impl Client {
    /// What is to be told before the start.
    pub fn builder() -> Builder {
        Builder::default()
    }

    pub(crate) fn new(shared: Shared, stats: watch::Receiver<Stats>) -> Client {
        let places = PollSemaphore::new(shared.places.clone());
        let handle = Arc::new(Handle { shared, stats, closing: AtomicBool::new(false) });
        Client { handle, places, place: None }
    }

    /// Asks, when there is room: [`poll_ready`](Service::poll_ready) and [`call`](Service::call) in one.
    ///
    /// # Errors
    /// As the call.
    pub async fn ask(&self, request: Request) -> Result<Response, Error> {
        let mut client = self.clone();
        poll_fn(|cx| client.poll_ready(cx)).await?;
        client.call(request).await
    }

    /// Waits until a list names a server that may be used: for a readiness probe. Requests need not wait for it.
    ///
    /// # Errors
    /// If the plug-in has been closed.
    pub async fn listed(&self) -> Result<(), Error> {
        let mut stats = self.handle.stats.clone();
        let usable = stats.wait_for(|stats| stats.phase == Phase::Serving && stats.any_open()).await;
        usable.map(drop).map_err(|_| Error::Closed)
    }

    /// What it does, as of a tenth of a second ago at most.
    pub fn stats(&self) -> Stats {
        self.handle.stats.borrow().clone()
    }

    /// The same whenever it changes, at most ten times a second. Ends with the plug-in.
    pub fn watch(&self) -> watch::Receiver<Stats> {
        self.handle.stats.clone()
    }

    /// Takes no more requests, by any clone, and waits until all that were taken are answered, each by its deadline.
    /// A closed plug-in does not open again.
    pub fn close(&self) -> impl Future<Output = ()> + Send + use<> {
        self.handle.close();
        let forked = self.handle.shared.queue.is_forked();
        let mut stats = self.handle.stats.clone();
        async move {
            // Its sender goes with the thread.
            while !forked && stats.changed().await.is_ok() {}
        }
    }

    fn take(&mut self, request: Request, span: impl FnOnce(&str, &str) -> Span) -> ResponseFuture {
        let Handle { shared, .. } = &*self.handle;
        let number = shared.taken.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", shared.salt.wrapping_add(number).wrapping_mul(ODD));
        let name = request.class.as_deref();
        let classes = &shared.classes;
        let class = name.map_or(Some(0), |name| classes.iter().position(|c| *c.name == *name));
        let span = span(&id, name.unwrap_or_default());
        match self.compose(request, &id, class) {
            Ok((composed, place)) => {
                let Handle { shared, .. } = &*self.handle;
                let number = RequestId(number);
                let (to, answered) = oneshot::channel();
                let reply = Reply { to, permit: place };
                match shared.queue.push(Command::Take { id: number, request: composed, reply }) {
                    true => ResponseFuture::waits(number, answered, shared.queue.clone(), span),
                    false => ResponseFuture::refused(Error::Closed, span),
                }
            }
            Err(error) => ResponseFuture::refused(error, span),
        }
    }

    /// The request in the engine's form, and the place kept for it.
    fn compose(
        &mut self,
        request: Request,
        id: &str,
        class: Option<usize>,
    ) -> Result<(engine::Request, OwnedSemaphorePermit), Error> {
        let Handle { shared, .. } = &*self.handle;
        let place = match self.place.take() {
            Some(place) => place,
            None => shared.places.clone().try_acquire_owned().map_err(|e| match e {
                tokio::sync::TryAcquireError::Closed => Error::Closed,
                tokio::sync::TryAcquireError::NoPermits => Error::NotReady,
            })?,
        };
        let class = class.ok_or(BadRequest::UnknownClass)?;
        let name = shared.classes.get(class).ok_or(BadRequest::UnknownClass)?;
        let now = shared.clock.now();
        let due = request.due.map_or(now + name.give_up, |due| shared.clock.at(due));
        let parts = RequestParts {
            key: &request.key,
            id: request.id.as_deref().unwrap_or(id.as_bytes()),
            class: name.name.as_bytes(),
            wait_ms: (due - now).max(0) as u64 / 1000,
            value: request.value.as_deref(),
            idempotency: request.idempotency.as_deref(),
            repeated: request.repeated,
        };
        let command = OwnedRequest::compose(&parts).map_err(BadRequest::Command)?;
        let key = Key(digest(&String::from_utf8_lossy(&request.key)));
        let repeated = request.repeated;
        Ok((engine::Request { repeated, ..engine::Request::new(command, key, class, due) }, place))
    }
}

/// Makes numbers in a row look unlike each other, and stays a bijection: SplitMix64's step (Steele, Lea, Flood 2014).
const ODD: u64 = 0x9e37_79b9_7f4a_7c15;

impl Service<Request> for Client {
    type Response = Response;
    type Error = Error;
    type Future = ResponseFuture;

    /// There is room for one more request in flight; those who wait get room in the order in which they came. The
    /// room is kept until the call, or until this clone is dropped.
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        if self.handle.shared.queue.is_forked() {
            return Poll::Ready(Err(Error::Closed));
        }
        if self.place.is_none() {
            self.place = ready!(self.places.poll_acquire(cx));
        }
        Poll::Ready(self.place.as_ref().map(drop).ok_or(Error::Closed))
    }

    fn call(&mut self, request: Request) -> ResponseFuture {
        let (write, name) = (request.is_write(), self.handle.shared.name.clone());
        self.take(
            request,
            |id, class| debug_span!("lapisrudder", service = %name, id, class, write, outcome = Empty),
        )
    }
}

impl Clone for Client {
    /// The clone has its own turn when there is no room.
    fn clone(&self) -> Self {
        Client { handle: self.handle.clone(), places: self.places.clone(), place: None }
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("name", &self.handle.shared.name).finish_non_exhaustive()
    }
}
