//! A source that is registered in the event loop, or will be as soon as the system allows it.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::ops::Deref;
use std::os::fd::AsFd;
use std::rc::Rc;

/// The data of a host's event loop: it records which sockets a dispatch has reported, in order. The host
/// handles them when the dispatch is over, so that callbacks need no access to the host.
pub trait ReadinessHandler: 'static {
    /// Identifies the owner of a socket, which may no longer exist when it is handled.
    type Owner: Copy + 'static;

    /// A socket is readable or writable, or has ended.
    fn ready(&mut self, owner: Self::Owner);
}

/// A source of readiness events, reported with its owner. It is removed from the event loop when it is
/// dropped.
///
/// It is registered once [`RegisteredSource::ensure_enabled`] returns true: epoll_ctl(2) can fail temporarily
/// (ENOMEM, ENOSPC). Until then the host uses the source without events: it polls it, and calls the function
/// again.
pub struct RegisteredSource<D: ReadinessHandler, S: AsFd + 'static> {
    source: Rc<S>,
    handle: LoopHandle<'static, D>,
    owner: D::Owner,
    interest: Interest,
    mode: Mode,
    token: Option<RegistrationToken>,
    /// It is registered, but its events are disabled.
    disabled: bool,
}

impl<D: ReadinessHandler, S: AsFd + 'static> RegisteredSource<D, S> {
    /// A level-triggered source, such as a listener: reported as long as there is something to read.
    pub fn level(source: S, handle: &LoopHandle<'static, D>, owner: D::Owner) -> Self {
        RegisteredSource::new(Rc::new(source), Interest::READ, Mode::Level, handle, owner)
    }

    /// An edge-triggered source: reported once when it becomes readable or writable.
    pub fn edge(source: S, handle: &LoopHandle<'static, D>, owner: D::Owner) -> Self {
        RegisteredSource::new(Rc::new(source), Interest::BOTH, Mode::Edge, handle, owner)
    }

    fn new(
        source: Rc<S>,
        interest: Interest,
        mode: Mode,
        handle: &LoopHandle<'static, D>,
        owner: D::Owner,
    ) -> Self {
        let handle = handle.clone();
        RegisteredSource { source, handle, owner, interest, mode, token: None, disabled: false }
    }

    /// Registers the source and enables its events, if necessary. False if that is not possible for now.
    pub fn ensure_enabled(&mut self) -> bool {
        match self.token {
            None => {
                let owner = self.owner;
                let on_event = move |_, _: &mut _, handler: &mut D| {
                    handler.ready(owner);
                    Ok(PostAction::Continue)
                };
                let source = Generic::new(self.source.clone(), self.interest, self.mode);
                self.token = self.handle.insert_source(source, on_event).ok();
            }
            Some(token) if self.disabled => self.disabled = self.handle.enable(&token).is_err(),
            Some(_) => {}
        }
        self.is_enabled()
    }

    /// Whether the event loop reports the source.
    pub fn is_enabled(&self) -> bool {
        self.token.is_some() && !self.disabled
    }

    /// Disables its events until [`RegisteredSource::ensure_enabled`] is called. If that fails, they stay
    /// enabled.
    pub fn disable(&mut self) {
        if let Some(token) = self.token.filter(|_| !self.disabled) {
            self.disabled = self.handle.disable(&token).is_ok();
        }
    }

    /// Removes the source from the event loop and returns it, still open, unless it has other owners.
    ///
    /// # Errors
    /// The source itself, not registered, if it has other owners.
    pub fn into_inner(self) -> Result<S, Self> {
        let (source, handle, owner) = (self.source.clone(), self.handle.clone(), self.owner);
        let (interest, mode) = (self.interest, self.mode);
        drop(self);
        Rc::try_unwrap(source).map_err(|shared| RegisteredSource::new(shared, interest, mode, &handle, owner))
    }
}

impl<D: ReadinessHandler, S: AsFd + 'static> Deref for RegisteredSource<D, S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.source
    }
}

impl<D: ReadinessHandler, S: AsFd + 'static> Drop for RegisteredSource<D, S> {
    fn drop(&mut self) {
        self.token.take().into_iter().for_each(|token| self.handle.remove(token));
    }
}
