//! How much of what comes is turned away while servers are short of room, by how long their answers take. No I/O, no
//! clock, no draws.

use crate::interface::{Micros, Settings};

/// Pressure (time of cache answers over their aim) from which surplus is shed, later by what it is worth, and
/// from which all is; over the span shedding grows. Where balancers outnumber servers, and no surplus can go
/// first, each learns of a jam too late to wait. Danger: surplus that is let in chokes servers on its own.
const FROM: f64 = 0.08;
const JAM: f64 = 0.9;
pub(crate) const BLIND: f64 = 0.45;
const SPAN: f64 = 0.3;
/// In a shortage surplus goes, in a jam most of the rest; were it all, no answer would tell of its end.
const MOST: f64 = 0.9;

/// How much pressure an answer shows that took so long, or a time-out after so long. Danger: time-outs that came sooner by what is
/// kept in reserve for hold-ups showed less of a jam, and less was shed.
pub(crate) fn felt(took: Micros, served: bool, reserve: Micros, aim: Micros) -> f64 {
    let waited = if served { took } else { took + reserve };
    (waited as f64 / aim.max(1) as f64).min(2.0)
}

/// The part of requests that goes under such pressure, over or within a tenant's share, where there are so many servers.
pub(crate) fn shed(settings: &Settings, servers: f64, pressure: f64, surplus: bool) -> f64 {
    let blind = f64::from(settings.siblings) > servers && settings.tenants.is_empty();
    let jam = if blind { BLIND } else { JAM };
    let (from, most) = if surplus { (FROM + settings.over_share_worth, 1.0) } else { (jam, MOST) };
    ((pressure - from) / SPAN).clamp(0.0, most)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn surplus_goes_first_and_of_the_rest_a_part_always_stays() {
        let few = Settings { siblings: 3, over_share_worth: 0.1, ..Settings::default() };
        let many = Settings { siblings: 100, ..few.clone() };
        for (settings, pressure, surplus, part) in [
            (&few, 0.3, false, 0.0),
            (&few, 0.6, true, 1.0),
            (&few, 0.6, false, 0.0),
            (&few, 2.0, false, 0.9),
            (&many, 0.4, false, 0.0),
            (&many, 0.6, false, 0.5),
            (&many, 2.0, false, 0.9),
        ] {
            let shed = shed(settings, 60.0, pressure, surplus);
            assert!((shed - part).abs() < 1e-9, "{} at {pressure}: {shed}", settings.siblings);
        }
    }

    /// Danger: three in four requests of a fleet with next to nothing in flight were turned away, since its answers take as
    /// much of their aim as those of a jammed one elsewhere.
    #[test]
    #[ignore = "expected to fail (docs/design/rare-moments.md, R23)"]
    fn what_answers_usually_take_is_no_jam_where_aims_are_tight() {
        let many = Settings { siblings: 32, over_share_worth: 0.1, ..Settings::default() };
        assert_eq!(shed(&many, 12.0, 0.68, false), 0.0, "what was seen of an idle fleet with aims of 0.3 s");
    }
}
