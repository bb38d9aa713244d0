//! Checks each row of the table in the crate's documentation.

use lapisrudder_fault_shim::errno::*;
use lapisrudder_io::{Operation, Outcome, Scarce, classify, is_momentary};
use std::io;

use Operation::{Accept, Connect, File, Open, Transfer};
use Outcome::{Begun, Done, Exhausted, NotReady, Over, Repeat};
use Scarce::{Memory, Other, Ports, ProcessDescriptors, Space, SystemDescriptors};

const TABLE: &[(Operation, &[i32], Outcome)] = &[
    (Transfer, &[EINTR], Repeat),
    (Transfer, &[EAGAIN], NotReady),
    (Transfer, &[ENOMEM, ENOBUFS], Exhausted(Memory)),
    (Transfer, &[ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENOTCONN, EBADF], Over),
    (Accept, &[EINTR, ECONNABORTED, EPROTO, EPERM, ETIMEDOUT, EHOSTUNREACH], Repeat),
    (Accept, &[ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENETUNREACH, EOPNOTSUPP], Repeat),
    (Accept, &[EAGAIN], NotReady),
    (Accept, &[EMFILE], Exhausted(ProcessDescriptors)),
    (Accept, &[ENFILE], Exhausted(SystemDescriptors)),
    (Accept, &[ENOBUFS, ENOMEM], Exhausted(Memory)),
    (Accept, &[EBADF, EINVAL, ENOTSOCK], Over),
    (Connect, &[EINTR], Repeat),
    (Connect, &[EINPROGRESS, EALREADY], Begun),
    (Connect, &[EISCONN], Done),
    (Connect, &[EAGAIN, EADDRNOTAVAIL, EADDRINUSE], Exhausted(Ports)),
    (Connect, &[ENOBUFS, ENOMEM], Exhausted(Memory)),
    (Connect, &[ECONNREFUSED, ETIMEDOUT, ENETUNREACH, EHOSTUNREACH, EACCES, EPERM, EBADF], Over),
    (Open, &[EINTR], Repeat),
    (Open, &[EMFILE], Exhausted(ProcessDescriptors)),
    (Open, &[ENFILE], Exhausted(SystemDescriptors)),
    (Open, &[ENOBUFS, ENOMEM], Exhausted(Memory)),
    (Open, &[ENOSPC], Exhausted(Space)),
    (Open, &[EAGAIN, EIO, ECANCELED], Exhausted(Other)),
    (Open, &[EADDRINUSE, EADDRNOTAVAIL, EACCES, EBADF, EINVAL], Over),
    (File, &[EINTR], Repeat),
    (File, &[EMFILE], Exhausted(ProcessDescriptors)),
    (File, &[ENFILE], Exhausted(SystemDescriptors)),
    (File, &[ENOMEM], Exhausted(Memory)),
    (File, &[ENOSPC, EDQUOT], Exhausted(Space)),
    (File, &[EAGAIN, EIO], Exhausted(Other)),
    (File, &[ENOENT, EACCES, EPERM, EINVAL], Over),
];

#[test]
fn each_documented_error_is_classified_as_in_the_table() {
    for (operation, errors, outcome) in TABLE {
        for errno in *errors {
            let error = io::Error::from_raw_os_error(*errno);
            assert_eq!(classify(*operation, &error), *outcome, "{operation:?}: {error}");
            let is_temporary = matches!(outcome, Repeat | Exhausted(_));
            assert_eq!(is_momentary(*operation, &error), is_temporary, "{operation:?}: {error}");
        }
    }
    assert_eq!(classify(Open, &io::Error::other("not from the system")), Over);
}
