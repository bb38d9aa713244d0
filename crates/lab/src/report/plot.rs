//! One plot over time as SVG text: lines and shaded stretches. The page around it has its caption and legend.

use crate::stats::Shade;
use plotters::coord::Shift;
use plotters::coord::combinators::{BindKeyPoints, LogCoord};
use plotters::coord::ranged1d::ValueFormatter;
use plotters::prelude::*;
use std::io;

/// The vertical axis.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scale {
    /// From 0 to the largest value, or to this one if that is larger.
    Linear(f64),
    /// Logarithmic if the values span more than a factor of ten, else from 0.
    Log,
}

/// A line of a plot; seconds with no value break it.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// As a legend has it; empty for none.
    pub name: String,
    /// Red, green, blue.
    pub color: (u8, u8, u8),
    /// Width in pixels.
    pub width: u32,
    /// Seconds and values.
    pub points: Vec<(f64, Option<f64>)>,
}

/// A plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// What the vertical axis shows, with its unit.
    pub axis: String,
    /// How it is divided.
    pub scale: Scale,
    /// Its lines, the last on top.
    pub lines: Vec<Line>,
    /// Faults, shaded, with a letter each.
    pub shades: Vec<(char, Shade)>,
    /// The last second.
    pub until: f64,
}

const SIZE: (u32, u32) = (920, 250);
const SHADE: RGBColor = RGBColor(240, 180, 90);
const INK: RGBColor = RGBColor(70, 75, 85);

impl Plot {
    /// As SVG, to be put into a page. Empty if it cannot be drawn.
    pub fn svg(&self) -> String {
        let mut text = String::new();
        let drawn = self.draw(&SVGBackend::with_string(&mut text, SIZE).into_drawing_area()).is_ok();
        if drawn { text } else { String::new() }
    }

    fn draw(&self, area: &DrawingArea<SVGBackend<'_>, Shift>) -> Drawn {
        let values =
            || self.lines.iter().flat_map(|l| &l.points).filter_map(|p| p.1).filter(|v| v.is_finite());
        let most = values().fold(f64::NAN, f64::max);
        let mut chart = ChartBuilder::on(area);
        chart.margin(8).margin_right(16).x_label_area_size(28).y_label_area_size(62);
        let until = self.until.max(1.0);
        let least_seen = values().filter(|v| *v > 0.0).fold(f64::INFINITY, f64::min);
        let wide = most >= 10.0 * least_seen;
        let scale = if self.scale == Scale::Log && !wide { Scale::Linear(0.0) } else { self.scale };
        match scale {
            Scale::Linear(least) => {
                let top = if most > 0.0 { (most * 1.05).max(least) } else { least.max(1.0) };
                self.fill(chart.build_cartesian_2d(0.0..until, 0.0..top)?, (0.0, top))
            }
            Scale::Log => {
                let (low, high) = (least_seen / 1.3, most * 1.3);
                let axis = LogCoord::from((low..high).log_scale()).with_key_points(round_values(low, high));
                self.fill(chart.build_cartesian_2d(0.0..until, axis)?, (low, high))
            }
        }
    }

    fn fill<'a, Y>(&self, mut chart: Chart<'a, Y>, (low, high): (f64, f64)) -> Drawn
    where
        Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
    {
        for (letter, shade) in &self.shades {
            // What happens at an instant is still seen.
            let least = self.until / 300.0;
            let (from, to) = (shade.from_s.max(0.0), shade.until_s.max(shade.from_s + least).min(self.until));
            if from >= to {
                continue;
            }
            chart.draw_series([Rectangle::new([(from, low), (to, high)], SHADE.mix(0.22).filled())])?;
            let style = ("sans-serif", 12).into_font().color(&RGBColor(150, 90, 10));
            chart.draw_series([Text::new(letter.to_string(), (from, high), style)])?;
        }
        let small = ("sans-serif", 12).into_font().color(&INK);
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .bold_line_style(INK.mix(0.15))
            .axis_style(INK.mix(0.6))
            .label_style(small.clone())
            .axis_desc_style(small.clone())
            .x_desc("seconds")
            .y_desc(self.axis.as_str())
            .x_labels(12)
            .y_labels(6)
            .x_label_formatter(&|x| format!("{x:.0}"))
            .y_label_formatter(&|y| number(*y))
            .draw()?;
        for line in &self.lines {
            let color = RGBColor(line.color.0, line.color.1, line.color.2);
            let style = color.stroke_width(line.width);
            for piece in pieces(&line.points) {
                chart.draw_series(LineSeries::new(piece, style))?;
            }
        }
        Ok(())
    }
}

/// What the backend says when it cannot draw.
type Drawn = Result<(), DrawingAreaErrorKind<io::Error>>;

type Chart<'a, Y> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<plotters::coord::types::RangedCoordf64, Y>>;

/// Stretches without a gap; a lone point becomes a short line so that it is seen.
fn pieces(points: &[(f64, Option<f64>)]) -> Vec<Vec<(f64, f64)>> {
    let mut all = vec![Vec::new()];
    for (x, y) in points {
        match (y.filter(|y| y.is_finite()), all.last_mut()) {
            (Some(y), Some(last)) => last.push((*x, y)),
            (None, Some(last)) if !last.is_empty() => all.push(Vec::new()),
            _ => {}
        }
    }
    all.retain(|piece| !piece.is_empty());
    for piece in &mut all {
        if let [(x, y)] = piece[..] {
            piece.push((x + 0.3, y));
        }
    }
    all
}

/// 1, 2 and 5 times the powers of ten between two values.
fn round_values(low: f64, high: f64) -> Vec<f64> {
    let tens = (-9..=9).map(|e| 10f64.powi(e));
    tens.flat_map(|ten| [ten, 2.0 * ten, 5.0 * ten]).filter(|v| (low..=high).contains(v)).collect()
}

/// Short enough for an axis.
fn number(y: f64) -> String {
    match y.abs() {
        0.0 => "0".into(),
        a if a >= 10_000.0 => format!("{:.0}k", y / 1000.0),
        a if a >= 10.0 => format!("{y:.0}"),
        a if a >= 1.0 => format!("{y:.1}"),
        _ => format!("{y:.2}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn gaps_break_lines_and_odd_values_do_no_harm() {
        let gap = [
            (0.0, Some(1.0)),
            (1.0, None),
            (2.0, Some(2.0)),
            (3.0, Some(f64::NAN)),
            (4.0, Some(4.0)),
            (5.0, Some(5.0)),
        ];
        assert_eq!(
            pieces(&gap),
            [vec![(0.0, 1.0), (0.3, 1.0)], vec![(2.0, 2.0), (2.3, 2.0)], vec![(4.0, 4.0), (5.0, 5.0)]]
        );
        let shade = |from_s, until_s| ('A', Shade { name: "f".into(), from_s, until_s });
        for scale in [Scale::Linear(1.0), Scale::Linear(0.0), Scale::Log] {
            for points in [gap.to_vec(), vec![], vec![(0.0, Some(0.0))], vec![(0.0, None)]] {
                let line = Line { name: "l".into(), color: (1, 2, 3), width: 2, points };
                let shades = vec![shade(2.0, 3.0), shade(4.0, 4.0), shade(-1.0, 99.0), shade(99.0, 99.0)];
                let plot = Plot { axis: "x <&> y".into(), scale, lines: vec![line], shades, until: 6.0 };
                let svg = plot.svg();
                assert!(
                    svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>") && !svg.contains("NaN"),
                    "{svg}"
                );
                assert!(svg.contains("x &lt;&amp;&gt; y"));
            }
        }
    }
}
