//! The layout of the table file that the preloaded library and [`Control`](crate::Control) share: 64-bit
//! words in native byte order.

/// The environment variable with the path of the table file. If it names a directory, each process creates a
/// table of its own there: a copy of the file [`TEMPLATE`] in the directory, named by the process id.
pub const VARIABLE: &str = "FAULT_SHIM";
/// Name of the file that each process copies if [`VARIABLE`] names a directory.
pub const TEMPLATE: &str = "template";
/// Value of word 0, which marks a file as a table.
pub const MAGIC: u64 = 0x6661_756c_7473_0001;

/// Index of the word with the seed of the random numbers.
pub const SEED: usize = 1;
/// Index of the word with the port at which discovery listens; connections to it are
/// [`Descriptor::Discovery`].
pub const DISCOVERY_PORT: usize = 2;
/// Index of the word with the port for management calls; connections to it are [`Descriptor::Management`].
pub const MANAGEMENT_PORT: usize = 3;
/// Index of the word that counts the random numbers drawn.
pub const RANDOM_DRAWN: usize = 5;
/// Index of the first count of intercepted calls: one word for each [`Call`].
pub const SEEN: usize = 16;
/// Index of the first count of injected failures and shortened calls: one word for each [`Call`].
pub const DELIVERED: usize = SEEN + 64;
/// Index of the first word of the first rule.
pub const RULES: usize = DELIVERED + 64;
/// Number of words of a rule.
pub const RULE_WORDS: usize = 16;
/// Maximum number of rules.
pub const MAX_RULES: usize = 64;
/// Number of words of the table.
pub const WORDS: usize = RULES + RULE_WORDS * MAX_RULES;

/// Offsets of the words of a rule.
pub mod rule {
    /// 1 while the rule is active.
    pub const ENABLED: usize = 0;
    /// The number of its [`super::Call`].
    pub const CALL: usize = 1;
    /// The error number that the call returns, [`super::SHORT`] or [`super::ONE_BYTE`]; for
    /// [`super::Call::WallClock`] the seconds added to the clock (signed).
    pub const ERROR: usize = 2;
    /// The probability that a matching call starts a burst of failures, in millionths.
    pub const PER_MILLION: usize = 3;
    /// How many matching calls in a row fail in a burst.
    pub const BURST: usize = 4;
    /// How many matching calls succeed before the rule applies.
    pub const SKIP: usize = 5;
    /// Maximum number of calls that the rule fails; 0 is no limit.
    pub const MAX_FAILURES: usize = 6;
    /// The kinds of descriptor that the rule matches, as bits of [`super::Descriptor`]; 0 matches all.
    pub const DESCRIPTORS: usize = 7;
    /// Count of matching calls.
    pub const MATCHED: usize = 8;
    /// Count of calls that the rule has failed.
    pub const FAILED: usize = 9;
    /// How many calls of the current burst have yet to fail.
    pub const BURST_LEFT: usize = 10;
    /// If not 0, the rule is active only in the first [`ACTIVE_MS`] milliseconds of each period of this many
    /// milliseconds of the monotonic clock.
    pub const PERIOD_MS: usize = 11;
    /// See [`PERIOD_MS`].
    pub const ACTIVE_MS: usize = 12;
}

/// In place of an error number: the call transfers a random part of its bytes, at least one.
pub const SHORT: u64 = 1 << 32;
/// In place of an error number: the call transfers one byte.
pub const ONE_BYTE: u64 = 1 << 33;

macro_rules! calls {
    ($($call:ident)*) => {
        /// A system call, or a family of calls with the same purpose. Its number is its position.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        #[allow(missing_docs)]
        pub enum Call { $($call),* }

        impl Call {
            /// All calls, in the order of their numbers.
            pub const ALL: &'static [Call] = &[$(Call::$call),*];
        }
    };
}

calls! {
    Accept Socket Connect Bind Listen EpollCreate EpollCtl EpollWait Poll Read Recv Recvmsg Write Writev Send
    Sendmsg Shutdown Getsockopt Setsockopt Getpeername Getsockname Fcntl Ioctl Dup Open Rename Unlink Thread
    Eventfd TimerfdCreate TimerfdSettime Signalfd Close WallClock
}

/// The kind of a file descriptor, as a bit of [`rule::DESCRIPTORS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Descriptor {
    /// Unknown, such as a socket that is not connected yet.
    Unknown = 1,
    /// A listening socket for clients.
    Listener = 2,
    /// An accepted connection of a client.
    Client = 4,
    /// A connection to a cache server or the origin.
    Server = 8,
    /// A connection to discovery.
    Discovery = 16,
    /// The listening socket for management calls, and its connections.
    Management = 32,
    /// A Unix socket, through which one process of a node hands over to its successor.
    HandOver = 64,
    /// An opened file.
    File = 128,
    /// Standard output and error.
    Standard = 256,
    /// A descriptor of the event loop: epoll, eventfd, timerfd, signalfd.
    Loop = 512,
    /// A datagram socket.
    Datagram = 1024,
}
