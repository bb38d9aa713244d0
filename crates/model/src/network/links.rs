//! The state of the links between hosts: delays and active faults.

use crate::Micros;
use crate::mix::{Spread, keyed_rng, unit};
use rand::RngCore;

/// A machine on the network, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Host(pub u32);

/// The set of hosts at one end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostSet {
    /// Every host.
    Any,
    /// This one.
    Host(Host),
    /// All hosts of a zone.
    Zone(u16),
}

/// What happens to open connections when a cut ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heal {
    /// What was sent during the cut arrives, as TCP retransmits it.
    Resume,
    /// A direction into which something was sent during the cut stays silent; connects made during the cut
    /// are never established.
    Stay,
    /// The machine has lost its state: whatever is sent on an older connection is answered by a reset, and so
    /// are connects made during the cut.
    Reset,
}

/// A fault of the link from one set of hosts to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Bytes are lost silently. New connections are not established.
    Cut(Heal),
    /// New connections are refused.
    Refuse,
    /// New connections are never established, while open ones work.
    NeverOpens,
    /// New connections are reset at once.
    ResetNew,
    /// This share of new connections, 0 to 1, is never established.
    LoseNew(f64),
    /// Adds this to the delay of each piece of data.
    Slow(Spread),
}

/// Id of an active fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultId(u64);

/// Outcome of a connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection is established.
    Opens,
    /// The connect is refused.
    Refused,
    /// The connection is reset at once.
    Reset,
    /// The connect is never answered.
    Never,
}

/// One-way delay between hosts of two zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delay {
    /// Constant part.
    pub base: Micros,
    /// Added part, drawn for each piece of data.
    pub jitter: Spread,
}

/// The zones of hosts and the delays between zones.
#[derive(Clone, Debug, PartialEq)]
pub struct LinksPlan {
    /// The zone of each host.
    pub zones: Vec<u16>,
    /// Delay between hosts of one zone.
    pub near: Delay,
    /// Delay between hosts of different zones.
    pub far: Delay,
    /// Delays of pairs of zones, from and to, that differ from `far`.
    pub pairs: Vec<(u16, u16, Delay)>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Active {
    id: FaultId,
    from: HostSet,
    to: HostSet,
    both: bool,
    pub(super) fault: Fault,
}

/// The state of all links. Test servers on real sockets query it as well: a socket cannot be cut silently
/// without privileges, so they neither read nor write while [`Links::passes`] is false.
#[derive(Clone, Debug)]
pub struct Links {
    plan: LinksPlan,
    seed: u64,
    active: Vec<Active>,
    made: u64,
}

impl Links {
    /// Creates links without faults.
    pub fn new(plan: LinksPlan, seed: u64) -> Self {
        Self { plan, seed, active: Vec::new(), made: 0 }
    }

    /// Adds a host to a zone.
    pub fn add_host(&mut self, zone: u16) -> Host {
        self.plan.zones.push(zone);
        Host(self.plan.zones.len() as u32 - 1)
    }

    /// The zone of a host; 0 for an unknown host.
    pub fn zone(&self, host: Host) -> u16 {
        self.plan.zones.get(host.0 as usize).copied().unwrap_or(0)
    }

    /// Switches a fault on, from one end to the other or in both directions. For faults of new connections
    /// the direction is that of the connect.
    pub fn begin(&mut self, from: HostSet, to: HostSet, both: bool, fault: Fault) -> FaultId {
        let id = FaultId(self.made);
        self.made += 1;
        self.active.push(Active { id, from, to, both, fault });
        id
    }

    /// Switches a fault off.
    pub fn end(&mut self, id: FaultId) -> Option<Fault> {
        self.take(id).map(|active| active.fault)
    }

    pub(super) fn take(&mut self, id: FaultId) -> Option<Active> {
        let at = self.active.iter().position(|active| active.id == id)?;
        Some(self.active.remove(at))
    }

    pub(super) fn covers(&self, active: &Active, from: Host, to: Host) -> bool {
        (self.matches(active.from, from) && self.matches(active.to, to))
            || (active.both && self.matches(active.from, to) && self.matches(active.to, from))
    }

    pub(super) fn matches(&self, which: HostSet, host: Host) -> bool {
        match which {
            HostSet::Any => true,
            HostSet::Host(this) => this == host,
            HostSet::Zone(zone) => self.zone(host) == zone,
        }
    }

    fn faults(&self, from: Host, to: Host) -> impl Iterator<Item = Fault> {
        self.active.iter().filter(move |active| self.covers(active, from, to)).map(|active| active.fault)
    }

    /// The cut that affects data from one host to another, if there is one.
    pub fn cut(&self, from: Host, to: Host) -> Option<Heal> {
        self.faults(from, to).find_map(|fault| if let Fault::Cut(heal) = fault { Some(heal) } else { None })
    }

    /// Whether data sent now from one host to another arrives.
    pub fn passes(&self, from: Host, to: Host) -> bool {
        self.cut(from, to).is_none()
    }

    /// Outcome of a connect made now from one host to another. The draw for lost connects depends on
    /// `number`, the number of the connection, alone, so that the same connection gets the same result each
    /// time.
    pub fn connect(&self, number: u64, from: Host, to: Host) -> ConnectOutcome {
        if !self.passes(from, to) || !self.passes(to, from) {
            return ConnectOutcome::Never;
        }
        let draw = unit(&mut keyed_rng(self.seed, "lose", number, 0));
        let mut outcome = ConnectOutcome::Opens;
        for fault in self.faults(from, to) {
            match fault {
                Fault::Refuse => return ConnectOutcome::Refused,
                Fault::NeverOpens => return ConnectOutcome::Never,
                Fault::LoseNew(share) if draw < share => return ConnectOutcome::Never,
                Fault::ResetNew => outcome = ConnectOutcome::Reset,
                _ => {}
            }
        }
        outcome
    }

    /// Delay of data sent now from one host to another.
    pub fn delay(&self, from: Host, to: Host, draws: &mut impl RngCore) -> Micros {
        let (a, b) = (self.zone(from), self.zone(to));
        let pair = self.plan.pairs.iter().find(|pair| (pair.0, pair.1) == (a, b)).map(|pair| pair.2);
        let usual = pair.unwrap_or(if a == b { self.plan.near } else { self.plan.far });
        let mut delay = usual.base.max(0) + usual.jitter.draw(draws);
        for fault in self.faults(from, to) {
            if let Fault::Slow(more) = fault {
                delay += more.draw(draws);
            }
        }
        delay
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn links() -> Links {
        let delay = |base| Delay { base, jitter: Spread::Fixed(0) };
        let plan = LinksPlan {
            zones: vec![0, 0, 1, 2],
            near: delay(100),
            far: delay(900),
            pairs: vec![(0, 2, delay(5000))],
        };
        Links::new(plan, 3)
    }

    #[test]
    fn faults_apply_to_their_hosts_while_active() {
        use ConnectOutcome::{Never, Opens, Refused, Reset};
        let (h0, h1, h2) = (Host(0), Host(1), Host(2));
        let cases = [
            // from, to, both, fault; then the connect outcomes 0 to 1, 0 to 2, 2 to 0; then whether data
            // passes 0 to 2 and 2 to 0.
            (
                HostSet::Zone(0),
                HostSet::Zone(1),
                false,
                Fault::Cut(Heal::Stay),
                [Opens, Never, Never],
                [false, true],
            ),
            (
                HostSet::Zone(0),
                HostSet::Zone(1),
                true,
                Fault::Cut(Heal::Stay),
                [Opens, Never, Never],
                [false, false],
            ),
            (HostSet::Any, HostSet::Host(h2), false, Fault::Refuse, [Opens, Refused, Opens], [true, true]),
            (HostSet::Any, HostSet::Host(h2), false, Fault::NeverOpens, [Opens, Never, Opens], [true, true]),
            (HostSet::Host(h0), HostSet::Any, false, Fault::ResetNew, [Reset, Reset, Opens], [true, true]),
            (HostSet::Any, HostSet::Any, false, Fault::LoseNew(1.0), [Never, Never, Never], [true, true]),
        ];
        for (from, to, both, fault, outcomes, passes) in cases {
            let mut links = links();
            let id = links.begin(from, to, both, fault);
            let pairs = [(h0, h1), (h0, h2), (h2, h0)];
            assert_eq!(pairs.map(|(a, b)| links.connect(7, a, b)), outcomes, "{fault:?}");
            assert_eq!([links.passes(h0, h2), links.passes(h2, h0)], passes, "{fault:?}");
            assert_eq!(links.end(id), Some(fault));
            assert_eq!(links.connect(7, h0, h2), Opens);
        }
    }

    #[test]
    fn delays_follow_zones_and_a_share_of_connects_is_lost() {
        let mut links = links();
        let mut draws = crate::draw::stream(1, "delay", 0);
        let mut delay = |links: &Links, a, b| links.delay(Host(a), Host(b), &mut draws);
        assert_eq!([(0, 1), (0, 2), (0, 3), (3, 0)].map(|(a, b)| delay(&links, a, b)), [100, 900, 5000, 900]);
        links.begin(HostSet::Host(Host(2)), HostSet::Any, true, Fault::Slow(Spread::Fixed(50)));
        assert_eq!([(0, 1), (0, 2), (2, 0)].map(|(a, b)| delay(&links, a, b)), [100, 950, 950]);
        links.begin(HostSet::Any, HostSet::Any, false, Fault::LoseNew(0.25));
        let lost =
            (0..10_000).filter(|&n| links.connect(n, Host(0), Host(1)) == ConnectOutcome::Never).count();
        // Four standard deviations of a binomial count with p = 0.25, n = 10,000.
        assert!(lost.abs_diff(2500) < 174, "{lost}");
    }
}
