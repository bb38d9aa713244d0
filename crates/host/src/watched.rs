//! Something on the loop, or to be on it as soon as the system lets it be watched.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::ops::Deref;
use std::os::fd::AsFd;
use std::rc::Rc;

/// The data of a host's loop: it notes whose sockets one dispatch has told of, in order. They are seen to when the
/// dispatch is over: callbacks know nothing of what is to be done.
pub trait ReadinessHandler: 'static {
    /// Whose socket it is. It may have gone since.
    type Owner: Copy + 'static;

    /// A socket is readable, writable or over.
    fn ready(&mut self, owner: Self::Owner);
}

/// A source of readiness, whose owner is noted when it is ready. It leaves the loop when it is dropped.
///
/// It is on the loop once [`RegisteredSource::ensure`] says so. Danger: epoll_ctl(2) fails for a moment, too (ENOMEM, ENOSPC). A source
/// that is not on the loop yet is used without: its host looks at it, and calls that again, until it is.
pub struct RegisteredSource<D: ReadinessHandler, S: AsFd + 'static> {
    source: Rc<S>,
    handle: LoopHandle<'static, D>,
    owner: D::Owner,
    interest: Interest,
    mode: Mode,
    token: Option<RegistrationToken>,
    /// It is on the loop, and tells nothing.
    silent: bool,
}

impl<D: ReadinessHandler, S: AsFd + 'static> RegisteredSource<D, S> {
    /// A listener or another source that tells as long as something is there to be read.
    pub fn level(source: S, handle: &LoopHandle<'static, D>, owner: D::Owner) -> Self {
        RegisteredSource::new(Rc::new(source), Interest::READ, Mode::Level, handle, owner)
    }

    /// A source that tells once when it becomes readable or writable.
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
        RegisteredSource { source, handle, owner, interest, mode, token: None, silent: false }
    }

    /// Puts it on the loop, if it is not there. False if that cannot be for now.
    pub fn ensure(&mut self) -> bool {
        match self.token {
            None => {
                let owner = self.owner;
                let note = move |_, _: &mut _, noted: &mut D| {
                    noted.ready(owner);
                    Ok(PostAction::Continue)
                };
                let source = Generic::new(self.source.clone(), self.interest, self.mode);
                self.token = self.handle.insert_source(source, note).ok();
            }
            Some(token) if self.silent => self.silent = self.handle.enable(&token).is_err(),
            Some(_) => {}
        }
        self.is_telling()
    }

    /// The loop tells of it.
    pub fn is_telling(&self) -> bool {
        self.token.is_some() && !self.silent
    }

    /// It tells nothing until [`RegisteredSource::ensure`] is called. Where that cannot be, it goes on telling.
    pub fn silence(&mut self) {
        if let Some(token) = self.token.filter(|_| !self.silent) {
            self.silent = self.handle.disable(&token).is_ok();
        }
    }

    /// Takes it off the loop, open as it is; gives it back where others hold it too.
    ///
    /// # Errors
    /// Itself, to be put on the loop again.
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
