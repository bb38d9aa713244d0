//! One direction of a connection, as the network between its ends treats it: delay, order and silent cuts.

use crate::Micros;
use lapisrudder_model::network::Heal;
use std::collections::VecDeque;

/// Pieces that are held for the end of a cut at the most: about what the buffers of both ends would hold.
const HELD: usize = 64;

/// What is sent one way, in order. The rules are those of the model's network, carried out on real sockets: what is
/// sent into a cut vanishes, or arrives at its end, as the cut says; what was under way when it began arrives.
#[derive(Debug)]
pub(super) struct Way<P> {
    /// Under way, with the times of arrival.
    coming: VecDeque<(Micros, P)>,
    /// Nothing sent from now on arrives before this.
    last: Micros,
    /// Something was sent into a cut that does this when it ends.
    cut: Option<Heal>,
    /// What was sent into a cut that resumes.
    held: VecDeque<P>,
}

impl<P> Default for Way<P> {
    fn default() -> Self {
        Self { coming: VecDeque::new(), last: Micros::MIN, cut: None, held: VecDeque::new() }
    }
}

impl<P> Way<P> {
    /// Sends a piece at a time over a link with this cut and delay at present.
    pub(super) fn send(&mut self, at: Micros, cut: Option<Heal>, delay: Micros, piece: P) {
        self.cut = self.cut.or(cut);
        match self.cut {
            Some(Heal::Resume) => self.held.push_back(piece),
            Some(Heal::Stay | Heal::Reset) => {}
            None => {
                self.last = self.last.max(at + delay);
                self.coming.push_back((self.last, piece));
            }
        }
    }

    /// No more is to be sent until a cut ends.
    pub(super) fn is_full(&self) -> bool {
        self.held.len() >= HELD
    }

    /// What the cut does that something was sent into.
    pub(super) fn is_cut(&self) -> Option<Heal> {
        self.cut
    }

    /// The link passes again. What was held is sent now.
    pub(super) fn resume(&mut self, at: Micros, delay: Micros) {
        if self.cut == Some(Heal::Resume) {
            self.cut = None;
            for piece in std::mem::take(&mut self.held) {
                self.send(at, None, delay, piece);
            }
        }
    }

    /// What has arrived, with the time when it did.
    pub(super) fn pop(&mut self, now: Micros) -> Option<(Micros, P)> {
        self.coming.front().filter(|first| first.0 <= now)?;
        self.coming.pop_front()
    }

    /// When the next piece arrives.
    pub(super) fn next(&self) -> Option<Micros> {
        self.coming.front().map(|first| first.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn arrived(way: &mut Way<char>, now: Micros) -> Vec<(Micros, char)> {
        std::iter::from_fn(|| way.pop(now)).collect()
    }

    #[test]
    fn pieces_arrive_in_order_after_their_delay() {
        let mut way = Way::default();
        way.send(0, None, 100, 'a');
        way.send(10, None, 5, 'b');
        way.send(200, None, 0, 'c');
        assert_eq!((way.next(), arrived(&mut way, 99)), (Some(100), vec![]));
        assert_eq!(arrived(&mut way, 100), [(100, 'a'), (100, 'b')], "none overtakes another");
        assert_eq!(arrived(&mut way, 300), [(200, 'c')]);
    }

    #[test]
    fn a_cut_holds_so_much_and_no_more() {
        let mut way = Way::default();
        let sent = (0..1000).take_while(|_| {
            let room = !way.is_full();
            if room {
                way.send(0, Some(Heal::Resume), 0, 'x');
            }
            room
        });
        assert_eq!(sent.count(), HELD);
        way.resume(5, 0);
        assert!(!way.is_full());
        assert_eq!(arrived(&mut way, 5).len(), HELD);
    }

    #[test]
    fn what_is_sent_into_a_cut_vanishes_or_arrives_at_its_end() {
        for (heal, after) in [
            (Heal::Resume, vec![(510, 'b'), (510, 'c'), (610, 'd')]),
            (Heal::Stay, vec![]),
            (Heal::Reset, vec![]),
        ] {
            let mut way = Way::default();
            way.send(0, None, 10, 'a');
            way.send(5, Some(heal), 10, 'b');
            way.send(20, Some(heal), 10, 'c');
            assert_eq!(arrived(&mut way, 400), [(10, 'a')], "it was under way: {heal:?}");
            assert_eq!(way.is_cut(), Some(heal));
            way.resume(500, 10);
            way.send(600, None, 10, 'd');
            assert_eq!(arrived(&mut way, 900), after, "{heal:?}");
        }
    }
}
