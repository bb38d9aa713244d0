//! All that is known, compared with one other member now and then: what gossip missed and what a cut parted comes
//! together. By digests of buckets first, so that members that agree spend 200 bytes, and then in pieces of one
//! datagram.

use crate::Micros;
use crate::core::Membership;
use crate::packet::{MOST_BYTES, MOST_NEWS, Name, Packet, State, Update, What, length};
use crate::planted::Planted;
use crate::settings::ms;
use crate::table::Member;
use crate::timers::Timer;
use std::net::SocketAddr;

/// Members are spread over so many buckets by their names; a digest is four bytes for each.
const BUCKETS: usize = 32;
/// Datagrams that one comparing takes at the most, each way: 300 members that one does not know at all. What is left
/// differs the next time, too.
const MOST_PIECES: usize = 12;

/// What a member counts for in its bucket. A suspicion does not: it ends soon either way, and would make all differ.
fn digest(update: &Update) -> u32 {
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
    /// It is time to compare with somebody.
    pub(crate) fn exchange(&mut self, now: Micros) {
        let every = ms(self.settings.exchange_every_ms);
        let wait = every / 2 + self.part_of(every);
        self.timers.set(now + wait, Timer::Exchange);
        if self.me.state != State::Left
            && self.planted != Planted::NoExchange
            && let Some(to) = self.some(1, None).pop()
        {
            self.compare_with(now, &to);
        }
    }

    /// Tells a member by buckets what is known here.
    pub(crate) fn compare_with(&mut self, now: Micros, to: &Name) {
        if self.planted == Planted::NoExchange {
            return;
        }
        let buckets = self.buckets(now);
        self.say(now, to, What::Digest { buckets });
    }

    /// Members that are compared. What has been dead for long is on its way to be forgotten, by all at about one time: it is
    /// not brought back to those who have forgotten it.
    fn compared(&self, now: Micros) -> impl Iterator<Item = Update> {
        let keeps = Micros::from(self.settings.forget_s) * 500_000;
        let fits = move |m: &Member| m.is_in() || now - m.since < keeps;
        let others = self.table.iter().filter(move |(_, m)| fits(m)).map(|(_, m)| m.update());
        others.chain([self.me.clone()])
    }

    fn buckets(&self, now: Micros) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        for update in self.compared(now) {
            if let Some(sum) = buckets.get_mut(bucket(&update.name)) {
                *sum ^= digest(&update);
            }
        }
        buckets
    }

    /// Another member's buckets: of those that differ it gets what is known here, and is asked for what it knows.
    pub(crate) fn compare(&mut self, now: Micros, to: &Name, theirs: &[u32]) {
        let own = self.buckets(now);
        let differ = |(n, own): (usize, &u32)| (theirs.get(n) != Some(own)).then_some(1u64 << n);
        let differing: u64 = own.iter().enumerate().filter_map(differ).sum();
        if differing != 0 {
            self.records(now, to, differing, differing);
        }
    }

    /// Sends what is known of these buckets, and asks for the other's of those wanted.
    pub(crate) fn records(&mut self, now: Micros, to: &Name, of: u64, wanted: u64) {
        let Some(at) = self.table.named(to).map(|m| m.at) else {
            return;
        };
        let of = |update: &Update| of >> bucket(&update.name) & 1 == 1 && update.name != *to;
        let news: Vec<Update> = self.compared(now).filter(of).collect();
        if !news.is_empty() || wanted != 0 {
            self.send_records(now, at, What::Records { wanted }, news, MOST_BYTES, MOST_PIECES);
        }
    }

    /// Sends words in pieces; what is wanted in return is asked for by the first.
    pub(crate) fn send_records(
        &mut self,
        now: Micros,
        to: SocketAddr,
        first: What,
        news: Vec<Update>,
        most: usize,
        pieces: usize,
    ) {
        let (mut news, mut what) = (news.into_iter().peekable(), first);
        for _ in 0..pieces {
            let mut packet = Packet { from: self.me.clone(), what, news: Vec::new() };
            let mut left = most.saturating_sub(length(&packet) + 1);
            while packet.news.len() < MOST_NEWS
                && let Some(update) = news.next_if(|update| length(update) <= left)
            {
                left -= length(&update);
                packet.news.push(update);
            }
            let stuck = packet.news.is_empty();
            if !self.send_packet(now, to, &packet, most) || stuck || news.peek().is_none() {
                return;
            }
            what = What::News;
        }
    }
}
