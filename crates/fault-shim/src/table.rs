//! The layout of the file that the shim and its controller share: words of 64 bits in the machine's order.

/// The variable that names the table's file. Where it names a folder, each process makes a table of its own there, a copy
/// of the file [`TEMPLATE`] in it, named by its process id.
pub const VARIABLE: &str = "FAULT_SHIM";
/// The file in a folder of tables that each process copies.
pub const TEMPLATE: &str = "template";
/// Says that a file is a table.
pub const MAGIC: u64 = 0x6661_756c_7473_0001;

/// Word 0 is [`MAGIC`]; then these.
pub const SEED: usize = 1;
/// The port at which discovery listens; connections there are [`Descriptor::Discovery`].
pub const DISCOVERY_PORT: usize = 2;
/// The port at which operators call; connections there are [`Descriptor::Management`].
pub const MANAGEMENT_PORT: usize = 3;
/// Random numbers drawn so far.
pub const DRAWN: usize = 5;
/// Counts of calls seen begin here, one word each.
pub const SEEN: usize = 16;
/// Counts of failures delivered begin here, one word for each call.
pub const DELIVERED: usize = SEEN + 64;
/// The rules begin here.
pub const RULES: usize = DELIVERED + 64;
/// Words of a rule.
pub const RULE_WORDS: usize = 16;
/// Rules at the most.
pub const MOST_RULES: usize = 64;
/// Words of the whole table.
pub const WORDS: usize = RULES + RULE_WORDS * MOST_RULES;

/// Words of a rule, from its beginning.
pub mod rule {
    /// 1 while the rule holds.
    pub const ON: usize = 0;
    /// The number of its [`super::Call`].
    pub const CALL: usize = 1;
    /// The error that it gives, [`super::SHORT`] or [`super::ONE_BYTE`]; for the wall clock, the seconds that are added (signed).
    pub const ERROR: usize = 2;
    /// How often it strikes (in a million calls).
    pub const RATE: usize = 3;
    /// How many calls in a row fail once it strikes.
    pub const BURST: usize = 4;
    /// So many matching calls pass first.
    pub const SKIP: usize = 5;
    /// It strikes so many calls at the most; 0 is no limit.
    pub const MOST: usize = 6;
    /// Kinds of descriptor that it is about, as bits; 0 is all.
    pub const KINDS: usize = 7;
    /// Matching calls so far.
    pub const MATCHED: usize = 8;
    /// Calls that it has failed.
    pub const STRUCK: usize = 9;
    /// Calls of a burst still to fail.
    pub const LEFT: usize = 10;
    /// It holds only in the first [`LASTS`] milliseconds of each such period; 0 is always.
    pub const PERIOD: usize = 11;
    /// See [`PERIOD`].
    pub const LASTS: usize = 12;
}

/// In place of an error: the call is made with a random part of its bytes, one at the least.
pub const SHORT: u64 = 1 << 32;
/// In place of an error: the call is made with one byte.
pub const ONE_BYTE: u64 = 1 << 33;

macro_rules! calls {
    ($($call:ident)*) => {
        /// A system call, or a family of them that does the same.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        #[allow(missing_docs)]
        pub enum Call { $($call),* }

        impl Call {
            /// All of them, by number.
            pub const ALL: &'static [Call] = &[$(Call::$call),*];
        }
    };
}

calls! {
    Accept Socket Connect Bind Listen EpollCreate EpollCtl EpollWait Poll Read Recv Recvmsg Write Writev Send Sendmsg
    Shutdown Getsockopt Setsockopt Getpeername Getsockname Fcntl Ioctl Dup Open Rename Unlink Thread Eventfd TimerfdCreate
    TimerfdSettime Signalfd Close WallClock
}

/// What a descriptor is, as bits of [`rule::KINDS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Descriptor {
    /// Not known (yet), such as a socket that is not connected.
    Unknown = 1,
    /// Where clients connect.
    Listener = 2,
    /// A client's connection.
    Client = 4,
    /// A connection to a cache server or the origin.
    Server = 8,
    /// A connection to discovery.
    Discovery = 16,
    /// Where operators call, and their connections.
    Management = 32,
    /// Between two processes of one node.
    HandOver = 64,
    /// A file.
    File = 128,
    /// Standard output and error.
    Standard = 256,
    /// The event loop's own: epoll, eventfd, timerfd, signalfd.
    Loop = 512,
    /// Datagrams.
    Datagram = 1024,
}
