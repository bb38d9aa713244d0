//! The table of the crate's page, row by row: what each documented error of each operation is.

use lapisrudder_fault_shim::errno::*;
use lapisrudder_io::{Lack, Operation, Outcome, classify, is_momentary};
use std::io;

use Lack::{Memory, Other, Ports, ProcessDescriptors, Room, SystemDescriptors};
use Operation::{Accept, Connect, File, Open, Transfer};
use Outcome::{Begun, Done, Lacking, NotReady, Over, Repeat};

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
