//! The functions that replace those of the C library in a process that preloads this library. Each one checks
//! the rules of the table, and makes the system call if none fails it. They can be called from any place in
//! the process, so they neither allocate nor call the replaced functions of the C library; `pthread_create`,
//! which has no system call of its own, calls the original.

use crate::table::{self, Call, Descriptor, rule};
use libc::{c_char, c_int, c_long, c_void, size_t, sockaddr, socklen_t, ssize_t};
use std::sync::atomic::{AtomicPtr, AtomicU8, AtomicU64, Ordering::Relaxed};

/// Descriptors with higher numbers count as [`Descriptor::Unknown`].
const MAX_DESCRIPTORS: usize = 1 << 16;
/// The kind of each descriptor: the number of its bit in [`Descriptor`].
static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];
/// The mapped table.
static TABLE: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// Whether [`TABLE`] is mapped. 0: not tried yet; 1: a thread is mapping it; 2: mapped; 3: there is no table.
static STATE: AtomicU8 = AtomicU8::new(0);

type Words = &'static [AtomicU64];

/// Returns the table, and maps it on the first call. `None` if there is none or another thread is just
/// mapping it.
fn words() -> Option<Words> {
    match STATE.load(Relaxed) {
        2 => {}
        0 if STATE.compare_exchange(0, 1, Relaxed, Relaxed).is_ok() => {
            let mapped = unsafe { map() };
            STATE.store(if mapped { 2 } else { 3 }, Relaxed);
            if !mapped {
                return None;
            }
        }
        _ => return None,
    }
    let at = TABLE.load(Relaxed);
    Some(unsafe { std::slice::from_raw_parts(at, table::WORDS) })
}

/// Maps the table file that [`table::VARIABLE`] names. Returns false if there is none.
unsafe fn map() -> bool {
    unsafe {
        let path = libc::getenv(c"FAULT_SHIM".as_ptr());
        if path.is_null() {
            return false;
        }
        let flags = libc::O_RDWR | libc::O_CLOEXEC;
        let mut fd = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, 0) as c_int;
        if fd < 0 && errno() == libc::EISDIR {
            fd = create_own_table(path);
        }
        if fd < 0 {
            return false;
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        let (start, offset): (usize, usize) = (0, 0);
        let flags = libc::MAP_SHARED;
        let at = libc::syscall(libc::SYS_mmap, start, table::WORDS * 8, protection, flags, fd, offset);
        libc::syscall(libc::SYS_close, fd);
        if at <= 0 || (*(at as *const AtomicU64)).load(Relaxed) != table::MAGIC {
            return false;
        }
        TABLE.store(at as *mut AtomicU64, Relaxed);
        true
    }
}

/// Copies the template in a directory to a table of this process, and returns its descriptor.
unsafe fn create_own_table(directory: *const c_char) -> c_int {
    unsafe {
        let mut path = [0 as c_char; 512];
        let pid = libc::syscall(libc::SYS_getpid) as c_int;
        libc::snprintf(path.as_mut_ptr(), path.len(), c"%s/template".as_ptr(), directory);
        let template = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY, 0);
        libc::snprintf(path.as_mut_ptr(), path.len(), c"%s/%d".as_ptr(), directory, pid);
        let flags = libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC;
        let own = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o600) as c_int;
        let mut buffer = [0u8; table::WORDS * 8];
        let read = libc::syscall(libc::SYS_read, template, buffer.as_mut_ptr(), buffer.len());
        libc::syscall(libc::SYS_write, own, buffer.as_ptr(), read);
        libc::syscall(libc::SYS_close, template);
        own
    }
}

fn errno() -> c_int {
    unsafe { *libc::__errno_location() }
}

/// Sets `errno`, and returns the result of a failed call.
fn fail(error: u64) -> c_int {
    unsafe { *libc::__errno_location() = error as c_int };
    -1
}

fn kind(fd: c_int) -> u64 {
    match (fd, usize::try_from(fd).ok().and_then(|fd| KINDS.get(fd))) {
        (1 | 2, _) => Descriptor::Standard as u64,
        (_, Some(kind)) => 1 << kind.load(Relaxed),
        (_, None) => Descriptor::Unknown as u64,
    }
}

fn set_kind(fd: c_int, kind: Descriptor) {
    if let Some(slot) = usize::try_from(fd).ok().and_then(|fd| KINDS.get(fd)) {
        slot.store((kind as u64).trailing_zeros() as u8, Relaxed);
    }
}

/// Draws the next random number of the table: the mixing step of SplitMix64, over the seed and the count of
/// numbers drawn.
fn random(words: Words) -> u64 {
    let drawn = words[table::RANDOM_DRAWN].fetch_add(1, Relaxed);
    let mut z = words[table::SEED].load(Relaxed) ^ drawn.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Returns the monotonic clock in milliseconds.
fn uptime_ms() -> u64 {
    let mut t = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut t) };
    t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000
}

/// Counts a call, and returns the error word of the first rule that fails it, if any.
fn injected_error(call: Call, kinds: u64) -> Option<u64> {
    let words = words()?;
    words[table::SEEN + call as usize].fetch_add(1, Relaxed);
    for number in 0..table::MAX_RULES {
        let start = table::RULES + number * table::RULE_WORDS;
        let word = |offset: usize| &words[start + offset];
        let get = |offset: usize| word(offset).load(Relaxed);
        let matched_kinds = get(rule::DESCRIPTORS);
        if get(rule::ENABLED) != 1
            || get(rule::CALL) != call as u64
            || matched_kinds != 0 && matched_kinds & kinds == 0
        {
            continue;
        }
        let period = get(rule::PERIOD_MS);
        if period > 0 && uptime_ms() % period >= get(rule::ACTIVE_MS) {
            continue;
        }
        if word(rule::MATCHED).fetch_add(1, Relaxed) < get(rule::SKIP) {
            continue;
        }
        let max_failures = get(rule::MAX_FAILURES);
        if max_failures > 0 && get(rule::FAILED) >= max_failures {
            continue;
        }
        let left = get(rule::BURST_LEFT);
        if left > 0 {
            word(rule::BURST_LEFT).store(left - 1, Relaxed);
        } else if random(words) % 1_000_000 < get(rule::PER_MILLION) {
            word(rule::BURST_LEFT).store(get(rule::BURST).saturating_sub(1), Relaxed);
        } else {
            continue;
        }
        word(rule::FAILED).fetch_add(1, Relaxed);
        words[table::DELIVERED + call as usize].fetch_add(1, Relaxed);
        return Some(get(rule::ERROR));
    }
    None
}

/// Returns how many bytes a call may transfer, or the result of the failed call.
fn allowed_bytes(call: Call, fd: c_int, bytes: usize) -> Result<usize, c_int> {
    match injected_error(call, kind(fd)) {
        None => Ok(bytes),
        Some(table::ONE_BYTE) => Ok(bytes.min(1)),
        Some(table::SHORT) if bytes > 1 => Ok(1 + words().map_or(0, |w| random(w) as usize % (bytes - 1))),
        Some(table::SHORT) => Ok(bytes),
        Some(error) => Err(fail(error)),
    }
}

/// Makes a system call directly, past the functions of the C library.
macro_rules! sys {
    ($number:ident $(, $argument:expr)*) => {
        libc::syscall(libc::$number $(, $argument as c_long)*) as c_int
    };
}

/// Returns from the replaced function with an error if a rule fails the call.
macro_rules! or_fail {
    ($call:expr, $kinds:expr) => {
        if let Some(error) = injected_error($call, $kinds) {
            return fail(error);
        }
    };
}

/// Records the kind of a new descriptor, and returns the descriptor.
fn new_descriptor(fd: c_int, kind: Descriptor) -> c_int {
    set_kind(fd, kind);
    fd
}

/// Returns the port of an address, or 0 if it has none.
unsafe fn port(address: *const sockaddr) -> u64 {
    unsafe {
        match c_int::from((*address).sa_family) {
            libc::AF_INET => u64::from(u16::from_be((*address.cast::<libc::sockaddr_in>()).sin_port)),
            libc::AF_INET6 => u64::from(u16::from_be((*address.cast::<libc::sockaddr_in6>()).sin6_port)),
            _ => 0,
        }
    }
}

/// Returns one of the words before the counts, or 0 if there is no table.
fn header(word: usize) -> u64 {
    words().map_or(0, |words| words[word].load(Relaxed))
}

/// Returns the kind of a listening socket, by its address family and port.
unsafe fn listener_kind(fd: c_int) -> Descriptor {
    unsafe {
        let mut address: libc::sockaddr_storage = std::mem::zeroed();
        let mut length = size_of_val(&address) as socklen_t;
        sys!(SYS_getsockname, fd, &mut address as *mut _, &mut length as *mut _);
        let own_port = port((&raw const address).cast());
        match c_int::from(address.ss_family) {
            libc::AF_UNIX => Descriptor::HandOver,
            _ if own_port != 0 && own_port == header(table::MANAGEMENT_PORT) => Descriptor::Management,
            _ => Descriptor::Listener,
        }
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    unsafe {
        let listener = listener_kind(fd);
        or_fail!(Call::Accept, listener as u64);
        let kind = if listener == Descriptor::Listener { Descriptor::Client } else { listener };
        new_descriptor(sys!(SYS_accept4, fd, address, length, flags), kind)
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    unsafe { accept4(fd, address, length, 0) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let datagram = kind & 0xf == libc::SOCK_DGRAM;
    let descriptor = match domain {
        libc::AF_UNIX => Descriptor::HandOver,
        _ if datagram => Descriptor::Datagram,
        _ => Descriptor::Unknown,
    };
    or_fail!(Call::Socket, descriptor as u64);
    new_descriptor(unsafe { sys!(SYS_socket, domain, kind, protocol) }, descriptor)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    unsafe {
        let to_port = port(address);
        let descriptor = match c_int::from((*address).sa_family) {
            libc::AF_UNIX => Descriptor::HandOver,
            _ if to_port == header(table::DISCOVERY_PORT) => Descriptor::Discovery,
            _ => Descriptor::Server,
        };
        set_kind(fd, descriptor);
        or_fail!(Call::Connect, descriptor as u64);
        sys!(SYS_connect, fd, address, length)
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    or_fail!(Call::Bind, kind(fd));
    unsafe { sys!(SYS_bind, fd, address, length) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    unsafe {
        let descriptor = listener_kind(fd);
        set_kind(fd, descriptor);
        or_fail!(Call::Listen, descriptor as u64);
        sys!(SYS_listen, fd, backlog)
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_create1(flags: c_int) -> c_int {
    or_fail!(Call::EpollCreate, Descriptor::Loop as u64);
    new_descriptor(unsafe { sys!(SYS_epoll_create1, flags) }, Descriptor::Loop)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    or_fail!(Call::EpollCtl, kind(fd));
    unsafe { sys!(SYS_epoll_ctl, epoll, operation, fd, event) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    or_fail!(Call::EpollWait, Descriptor::Loop as u64);
    unsafe { sys!(SYS_epoll_pwait, epoll, events, max_events, timeout, 0, 8) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_pwait2(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: *const libc::timespec,
    mask: *const libc::sigset_t,
) -> c_int {
    or_fail!(Call::EpollWait, Descriptor::Loop as u64);
    unsafe { sys!(SYS_epoll_pwait2, epoll, events, max_events, timeout, mask, 8) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn poll(fds: *mut libc::pollfd, count: libc::nfds_t, timeout: c_int) -> c_int {
    or_fail!(Call::Poll, Descriptor::Unknown as u64);
    unsafe { sys!(SYS_poll, fds, count, timeout) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn ppoll(
    fds: *mut libc::pollfd,
    count: libc::nfds_t,
    timeout: *const libc::timespec,
    mask: *const libc::sigset_t,
) -> c_int {
    or_fail!(Call::Poll, Descriptor::Unknown as u64);
    unsafe { sys!(SYS_ppoll, fds, count, timeout, mask, 8) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, bytes: size_t) -> ssize_t {
    match allowed_bytes(Call::Read, fd, bytes) {
        Ok(bytes) => unsafe { libc::syscall(libc::SYS_read, fd, buffer, bytes) as ssize_t },
        Err(failed) => failed as ssize_t,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, bytes: size_t, flags: c_int) -> ssize_t {
    unsafe { recvfrom(fd, buffer, bytes, flags, std::ptr::null_mut(), std::ptr::null_mut()) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recvfrom(
    fd: c_int,
    buffer: *mut c_void,
    bytes: size_t,
    flags: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
) -> ssize_t {
    match allowed_bytes(Call::Recv, fd, bytes) {
        Ok(bytes) => unsafe {
            libc::syscall(libc::SYS_recvfrom, fd, buffer, bytes, flags, address, length as usize) as ssize_t
        },
        Err(failed) => failed as ssize_t,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn recvmsg(fd: c_int, message: *mut libc::msghdr, flags: c_int) -> ssize_t {
    match injected_error(Call::Recvmsg, kind(fd)) {
        Some(error) if error < table::SHORT => fail(error) as ssize_t,
        _ => unsafe { libc::syscall(libc::SYS_recvmsg, fd, message, flags) as ssize_t },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, bytes: size_t) -> ssize_t {
    match allowed_bytes(Call::Write, fd, bytes) {
        Ok(bytes) => unsafe { libc::syscall(libc::SYS_write, fd, buffer, bytes) as ssize_t },
        Err(failed) => failed as ssize_t,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t {
    unsafe {
        let all = std::slice::from_raw_parts(parts, count.max(0) as usize);
        let bytes = all.iter().map(|part| part.iov_len).sum();
        match allowed_bytes(Call::Writev, fd, bytes) {
            Ok(allowed) if allowed == bytes => libc::syscall(libc::SYS_writev, fd, parts, count) as ssize_t,
            Ok(allowed) => match all.iter().find(|part| part.iov_len > 0) {
                Some(first) => {
                    libc::syscall(libc::SYS_write, fd, first.iov_base, allowed.min(first.iov_len)) as ssize_t
                }
                None => 0,
            },
            Err(failed) => failed as ssize_t,
        }
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, bytes: size_t, flags: c_int) -> ssize_t {
    unsafe { sendto(fd, buffer, bytes, flags, std::ptr::null(), 0) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn sendto(
    fd: c_int,
    buffer: *const c_void,
    bytes: size_t,
    flags: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> ssize_t {
    match allowed_bytes(Call::Send, fd, bytes) {
        Ok(bytes) => unsafe {
            libc::syscall(libc::SYS_sendto, fd, buffer, bytes, flags, address, length as usize) as ssize_t
        },
        Err(failed) => failed as ssize_t,
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn sendmsg(fd: c_int, message: *const libc::msghdr, flags: c_int) -> ssize_t {
    match injected_error(Call::Sendmsg, kind(fd)) {
        Some(error) if error < table::SHORT => fail(error) as ssize_t,
        _ => unsafe { libc::syscall(libc::SYS_sendmsg, fd, message, flags) as ssize_t },
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    or_fail!(Call::Shutdown, kind(fd));
    unsafe { sys!(SYS_shutdown, fd, how) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    length: *mut socklen_t,
) -> c_int {
    or_fail!(Call::Getsockopt, kind(fd));
    unsafe { sys!(SYS_getsockopt, fd, level, name, value, length) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    or_fail!(Call::Setsockopt, kind(fd));
    unsafe { sys!(SYS_setsockopt, fd, level, name, value, length) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn getpeername(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    or_fail!(Call::Getpeername, kind(fd));
    unsafe { sys!(SYS_getpeername, fd, address, length) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn getsockname(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    or_fail!(Call::Getsockname, kind(fd));
    unsafe { sys!(SYS_getsockname, fd, address, length) }
}

/// Gives a duplicated descriptor the kind of the original, and returns it.
fn duplicate(fd: c_int, new: c_int) -> c_int {
    if let Some(original) = usize::try_from(fd).ok().and_then(|fd| KINDS.get(fd))
        && let Some(slot) = usize::try_from(new).ok().and_then(|fd| KINDS.get(fd))
    {
        slot.store(original.load(Relaxed), Relaxed);
    }
    new
}

#[unsafe(no_mangle)]
unsafe extern "C" fn fcntl(fd: c_int, command: c_int, argument: c_long) -> c_int {
    let duplicates = matches!(command, libc::F_DUPFD | libc::F_DUPFD_CLOEXEC);
    or_fail!(if duplicates { Call::Dup } else { Call::Fcntl }, kind(fd));
    let result = unsafe { sys!(SYS_fcntl, fd, command, argument) };
    if duplicates { duplicate(fd, result) } else { result }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn ioctl(fd: c_int, request: libc::c_ulong, argument: c_long) -> c_int {
    or_fail!(Call::Ioctl, kind(fd));
    unsafe { sys!(SYS_ioctl, fd, request, argument) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn dup(fd: c_int) -> c_int {
    or_fail!(Call::Dup, kind(fd));
    duplicate(fd, unsafe { sys!(SYS_dup, fd) })
}

unsafe fn open_at(directory: c_int, path: *const c_char, flags: c_int, mode: c_long) -> c_int {
    or_fail!(Call::Open, Descriptor::File as u64);
    new_descriptor(unsafe { sys!(SYS_openat, directory, path, flags, mode) }, Descriptor::File)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: c_long) -> c_int {
    unsafe { open_at(libc::AT_FDCWD, path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_long) -> c_int {
    unsafe { open_at(libc::AT_FDCWD, path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn openat(directory: c_int, path: *const c_char, flags: c_int, mode: c_long) -> c_int {
    unsafe { open_at(directory, path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn openat64(directory: c_int, path: *const c_char, flags: c_int, mode: c_long) -> c_int {
    unsafe { open_at(directory, path, flags, mode) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    or_fail!(Call::Rename, Descriptor::File as u64);
    unsafe { sys!(SYS_rename, from, to) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    or_fail!(Call::Unlink, Descriptor::File as u64);
    unsafe { sys!(SYS_unlink, path) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn eventfd(initial: libc::c_uint, flags: c_int) -> c_int {
    or_fail!(Call::Eventfd, Descriptor::Loop as u64);
    new_descriptor(unsafe { sys!(SYS_eventfd2, initial, flags) }, Descriptor::Loop)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn timerfd_create(clock: c_int, flags: c_int) -> c_int {
    or_fail!(Call::TimerfdCreate, Descriptor::Loop as u64);
    new_descriptor(unsafe { sys!(SYS_timerfd_create, clock, flags) }, Descriptor::Loop)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn timerfd_settime(
    fd: c_int,
    flags: c_int,
    new: *const libc::itimerspec,
    old: *mut libc::itimerspec,
) -> c_int {
    or_fail!(Call::TimerfdSettime, Descriptor::Loop as u64);
    unsafe { sys!(SYS_timerfd_settime, fd, flags, new, old) }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn signalfd(fd: c_int, mask: *const libc::sigset_t, flags: c_int) -> c_int {
    or_fail!(Call::Signalfd, Descriptor::Loop as u64);
    new_descriptor(unsafe { sys!(SYS_signalfd4, fd, mask, 8, flags) }, Descriptor::Loop)
}

/// Closes the descriptor in any case: Linux does so even when `close` returns an error.
#[unsafe(no_mangle)]
unsafe extern "C" fn close(fd: c_int) -> c_int {
    let error = injected_error(Call::Close, kind(fd));
    let closed = unsafe { sys!(SYS_close, fd) };
    set_kind(fd, Descriptor::Unknown);
    error.map_or(closed, fail)
}

type StartRoutine = extern "C" fn(*mut c_void) -> *mut c_void;
type PthreadCreate = unsafe extern "C" fn(
    *mut libc::pthread_t,
    *const libc::pthread_attr_t,
    StartRoutine,
    *mut c_void,
) -> c_int;

/// Returns an error number as its result, without setting `errno`, as the function of the C library does.
#[unsafe(no_mangle)]
unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    start: StartRoutine,
    argument: *mut c_void,
) -> c_int {
    if let Some(error) = injected_error(Call::Thread, Descriptor::Unknown as u64) {
        return error as c_int;
    }
    unsafe {
        let real = libc::dlsym(libc::RTLD_NEXT, c"pthread_create".as_ptr());
        if real.is_null() {
            return libc::ENOSYS;
        }
        let real: PthreadCreate = std::mem::transmute(real);
        real(thread, attributes, start, argument)
    }
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    unsafe {
        let result = sys!(SYS_clock_gettime, clock, time);
        if clock == libc::CLOCK_REALTIME && result == 0 && words().is_some() {
            let step = injected_error(Call::WallClock, Descriptor::Unknown as u64).unwrap_or(0) as i64;
            let nanos = ((*time).tv_sec + step) * 1_000_000_000 + (*time).tv_nsec;
            (*time).tv_sec = nanos.div_euclid(1_000_000_000);
            (*time).tv_nsec = nanos.rem_euclid(1_000_000_000);
        }
        result
    }
}
