//! Push-pull: a member occasionally compares its whole table with another one's, which repairs what gossip
//! missed and joins views that a partition split. Digests of buckets go first, so that members that agree
//! spend only 200 bytes; the records of buckets that differ follow, in pieces of one datagram.

use crate::Micros;
use crate::ablation::Ablation;
use crate::core::Membership;
use crate::packet::{MAX_PACKET, MAX_UPDATES, Message, Name, Packet, State, Update, encoded_len};
use crate::settings::ms;
use crate::table::Member;
use crate::timers::Timer;
use std::net::SocketAddr;

/// Number of buckets over which members are spread by their names. A digest has four bytes for each.
const BUCKETS: usize = 32;
/// Maximum number of datagrams that an exchange sends in each direction: enough for 300 members that the
/// other side does not know at all. The rest still differs in the next exchange, and follows then.
const MAX_PIECES: usize = 12;

/// Digest of one member's record; a bucket's digest combines those of its members. A suspicion is left out:
/// it ends soon either way, and would make all tables differ.
fn record_digest(update: &Update) -> u32 {
    let rank = match update.state {
        State::Alive | State::Suspect => 0u8,
        State::Dead => 1,
        State::Left => 2,
    };
    let mut crc = crc32fast::Hasher::new();
    crc.update(update.name.as_str().as_bytes());
    crc.update(&update.start.to_be_bytes());
    crc.update(&update.incarnation.to_be_bytes());
    crc.update(&[rank]);
    crc.finalize()
}

fn bucket(name: &Name) -> usize {
    name.digest() as usize % BUCKETS
}

impl Membership {
    /// Starts an exchange with a random member, and schedules the next one.
    pub(crate) fn push_pull(&mut self, now: Micros) {
        let every = ms(self.settings.exchange_every_ms);
        let wait = every / 2 + self.random_up_to(every);
        self.timers.schedule(now + wait, Timer::PushPull);
        if self.me.state != State::Left
            && self.ablation != Ablation::NoPushPull
            && let Some(to) = self.random_members(1, None).pop()
        {
            self.send_digest(now, &to);
        }
    }

    /// Sends the digests of all buckets to a member, which starts an exchange.
    pub(crate) fn send_digest(&mut self, now: Micros, to: &Name) {
        if self.ablation == Ablation::NoPushPull {
            return;
        }
        let buckets = self.bucket_digests(now);
        self.send_to(now, to, Message::Digest { buckets });
    }

    /// The records that take part in the exchange. A member that has been dead for long is left out: all
    /// members are about to remove it, and one that already has must not learn of it again.
    fn shared_records(&self, now: Micros) -> impl Iterator<Item = Update> {
        let retention = Micros::from(self.settings.forget_s) * 500_000;
        let retained = move |m: &Member| m.participates() || now - m.since < retention;
        let others = self.table.iter().filter(move |(_, m)| retained(m)).map(|(_, m)| m.update());
        others.chain([self.me.clone()])
    }

    fn bucket_digests(&self, now: Micros) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        for update in self.shared_records(now) {
            if let Some(sum) = buckets.get_mut(bucket(&update.name)) {
                *sum ^= record_digest(&update);
            }
        }
        buckets
    }

    /// Compares another member's digests with the own ones. Sends it the records of the buckets that differ,
    /// and asks for its own.
    pub(crate) fn on_digest(&mut self, now: Micros, to: &Name, theirs: &[u32]) {
        let own = self.bucket_digests(now);
        let bucket_bit = |(n, own): (usize, &u32)| (theirs.get(n) != Some(own)).then_some(1u64 << n);
        let differing: u64 = own.iter().enumerate().filter_map(bucket_bit).sum();
        if differing != 0 {
            self.send_bucket_records(now, to, differing, differing);
        }
    }

    /// Sends the records of the buckets `of`, and asks for those of the buckets `wanted`.
    pub(crate) fn send_bucket_records(&mut self, now: Micros, to: &Name, of: u64, wanted: u64) {
        let Some(at) = self.table.named(to).map(|m| m.at) else {
            return;
        };
        let of = |update: &Update| of >> bucket(&update.name) & 1 == 1 && update.name != *to;
        let updates: Vec<Update> = self.shared_records(now).filter(of).collect();
        if !updates.is_empty() || wanted != 0 {
            self.send_in_pieces(now, at, Message::Records { wanted }, updates, MAX_PACKET, MAX_PIECES);
        }
    }

    /// Sends updates in up to `max_pieces` packets. The message of the first packet is `first`, that of the
    /// others [`Message::News`].
    pub(crate) fn send_in_pieces(
        &mut self,
        now: Micros,
        to: SocketAddr,
        first: Message,
        updates: Vec<Update>,
        max_bytes: usize,
        max_pieces: usize,
    ) {
        let (mut updates, mut what) = (updates.into_iter().peekable(), first);
        for _ in 0..max_pieces {
            let mut packet = Packet { from: self.me.clone(), what, news: Vec::new() };
            let mut left = max_bytes.saturating_sub(encoded_len(&packet) + 1);
            while packet.news.len() < MAX_UPDATES
                && let Some(update) = updates.next_if(|update| encoded_len(update) <= left)
            {
                left -= encoded_len(&update);
                packet.news.push(update);
            }
            let none_fitted = packet.news.is_empty();
            if !self.send_packet(now, to, &packet, max_bytes) || none_fitted || updates.peek().is_none() {
                return;
            }
            what = Message::News;
        }
    }
}
