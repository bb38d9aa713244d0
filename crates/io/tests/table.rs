//! The table of the crate's page, row by row: what each documented error of each operation is.

use lapisrudder_io::{Lack, Operation, Outcome, classify, is_momentary};
use std::io;

use Lack::{Memory, Other, Ports, ProcessDescriptors, Room, SystemDescriptors};
use Operation::{Accept, Connect, File, Open, Transfer};
use Outcome::{Begun, Done, Lacking, NotReady, Over, Repeat};

const ENOENT: i32 = 2;
const EINTR: i32 = 4;
const EIO: i32 = 5;
const EBADF: i32 = 9;
const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const EACCES: i32 = 13;
const EPERM: i32 = 1;
const EINVAL: i32 = 22;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EPIPE: i32 = 32;
const EPROTO: i32 = 71;
const ENOTSOCK: i32 = 88;
const ENOPROTOOPT: i32 = 92;
const EOPNOTSUPP: i32 = 95;
const EADDRINUSE: i32 = 98;
const EADDRNOTAVAIL: i32 = 99;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ECONNRESET: i32 = 104;
const ENOBUFS: i32 = 105;
const EISCONN: i32 = 106;
const ENOTCONN: i32 = 107;
const ETIMEDOUT: i32 = 110;
const ECONNREFUSED: i32 = 111;
const EHOSTDOWN: i32 = 112;
const EHOSTUNREACH: i32 = 113;
const EALREADY: i32 = 114;
const EINPROGRESS: i32 = 115;
const EDQUOT: i32 = 122;
const ECANCELED: i32 = 125;

const TABLE: &[(Operation, &[i32], Outcome)] = &[
    (Transfer, &[EINTR], Repeat),
    (Transfer, &[EAGAIN], NotReady),
    (Transfer, &[ENOMEM, ENOBUFS], Lacking(Memory)),
    (Transfer, &[ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENOTCONN, EBADF], Over),
    (Accept, &[EINTR, ECONNABORTED, EPROTO, EPERM, ETIMEDOUT, EHOSTUNREACH], Repeat),
    (Accept, &[ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENETUNREACH, EOPNOTSUPP], Repeat),
    (Accept, &[EAGAIN], NotReady),
    (Accept, &[EMFILE], Lacking(ProcessDescriptors)),
    (Accept, &[ENFILE], Lacking(SystemDescriptors)),
    (Accept, &[ENOBUFS, ENOMEM], Lacking(Memory)),
    (Accept, &[EBADF, EINVAL, ENOTSOCK], Over),
    (Connect, &[EINTR], Repeat),
    (Connect, &[EINPROGRESS, EALREADY], Begun),
    (Connect, &[EISCONN], Done),
    (Connect, &[EAGAIN, EADDRNOTAVAIL, EADDRINUSE], Lacking(Ports)),
    (Connect, &[ENOBUFS, ENOMEM], Lacking(Memory)),
    (Connect, &[ECONNREFUSED, ETIMEDOUT, ENETUNREACH, EHOSTUNREACH, EACCES, EPERM, EBADF], Over),
    (Open, &[EINTR], Repeat),
    (Open, &[EMFILE], Lacking(ProcessDescriptors)),
    (Open, &[ENFILE], Lacking(SystemDescriptors)),
    (Open, &[ENOBUFS, ENOMEM], Lacking(Memory)),
    (Open, &[ENOSPC], Lacking(Room)),
    (Open, &[EAGAIN, EIO, ECANCELED], Lacking(Other)),
    (Open, &[EADDRINUSE, EADDRNOTAVAIL, EACCES, EBADF, EINVAL], Over),
    (File, &[EINTR], Repeat),
    (File, &[EMFILE], Lacking(ProcessDescriptors)),
    (File, &[ENFILE], Lacking(SystemDescriptors)),
    (File, &[ENOMEM], Lacking(Memory)),
    (File, &[ENOSPC, EDQUOT], Lacking(Room)),
    (File, &[EAGAIN, EIO], Lacking(Other)),
    (File, &[ENOENT, EACCES, EPERM, EINVAL], Over),
];

#[test]
fn each_documented_error_is_what_the_table_says() {
    for (operation, errors, outcome) in TABLE {
        for errno in *errors {
            let error = io::Error::from_raw_os_error(*errno);
            assert_eq!(classify(*operation, &error), *outcome, "{operation:?}: {error}");
            let passes = matches!(outcome, Repeat | Lacking(_));
            assert_eq!(is_momentary(*operation, &error), passes, "{operation:?}: {error}");
        }
    }
    assert_eq!(classify(Open, &io::Error::other("none of the system's")), Over);
}
