//! Workloads and faults from the brief's sizes.

use crate::model::EngineModel;
use hoplanding_core::ids::{AdapterVersion, PriorityClass};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

/// Adapters of a site.
const ADAPTERS: usize = 3000;
/// Share of the fleet that the peak uses.
const PEAK: f64 = 0.85;
/// Seconds of arrivals.
pub const ARRIVALS_S: f64 = 300.0;
/// Seconds before measuring begins.
pub const WARM_UP_S: f64 = 90.0;
/// When a popularity shift, and the loss of a zone, come.
pub const FAULT_AT_S: f64 = 180.0;

/// Whose workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    Kettleby,
    Kilindini,
}

impl Site {
    pub const ALL: [Self; 2] = [Self::Kettleby, Self::Kilindini];

    pub fn name(self) -> &'static str {
        match self {
            Self::Kettleby => "kettleby",
            Self::Kilindini => "kilindini",
        }
    }

    /// Availability zones and engines.
    pub fn sizes(self) -> (usize, usize) {
        match self {
            Self::Kettleby => (3, 12),
            Self::Kilindini => (4, 12),
        }
    }

    /// Share, mean output tokens and mean prompt tokens of each class.
    fn mix(self) -> [(f64, f64, f64); 3] {
        match self {
            // Defect write-ups, quick grade checks, long reel histories.
            Self::Kettleby => [
                (0.15, 150.0, 300.0),
                (0.35, 60.0, 150.0),
                (0.5, 600.0, 800.0),
            ],
            // Confirmations and plans for a waiting pilot, notices and checks, long summaries.
            Self::Kilindini => [
                (0.25, 120.0, 250.0),
                (0.55, 250.0, 300.0),
                (0.2, 700.0, 800.0),
            ],
        }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Steady,
    Shift,
    Restarts,
    FailingLoads,
    StoreSlow,
    ZoneLost,
    Overload,
}

impl Fault {
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Shift,
        Self::Restarts,
        Self::FailingLoads,
        Self::StoreSlow,
        Self::ZoneLost,
        Self::Overload,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Shift => "shift",
            Self::Restarts => "restarts",
            Self::FailingLoads => "failing_loads",
            Self::StoreSlow => "store_slow",
            Self::ZoneLost => "zone_lost",
            Self::Overload => "overload",
        }
    }
}

/// One request to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_s: f64,
    pub model: AdapterVersion,
    pub class: PriorityClass,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// All requests of a run, in order of arrival.
pub fn arrivals(site: Site, fault: Fault, model: &EngineModel, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mix = site.mix();
    let mean_tokens: f64 = mix.iter().map(|(share, tokens, _)| share * tokens).sum();
    let (_, engines) = site.sizes();
    let load = if fault == Fault::Overload { 2.0 } else { PEAK };
    let rate = engines as f64 * model.full_speed() * load / mean_tokens;
    let gaps = Exp::new(rate).expect("the rate is positive");
    let ranks = Zipf::new(ADAPTERS as f64, 1.4).expect("the skew is positive");
    let spread = LogNormal::new(0.0, 0.5).expect("the spread is finite");
    let names: Vec<_> = (0..ADAPTERS)
        .map(|number| AdapterVersion::new(&format!("adapter-{number:04}"), "v1"))
        .collect();
    let before = shuffled(&mut random);
    let after = shuffled(&mut random);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += gaps.sample(&mut random);
        if at_s > ARRIVALS_S {
            return arrivals;
        }
        let rank = ranks.sample(&mut random) as usize - 1;
        let order = if fault == Fault::Shift && at_s >= FAULT_AT_S {
            &after
        } else {
            &before
        };
        let pick: f64 = random.random();
        let class = match pick {
            pick if pick < mix[0].0 => 0,
            pick if pick < mix[0].0 + mix[1].0 => 1,
            _ => 2,
        };
        // A log-normal of sigma 0.5 has a mean of exp(0.125).
        let stretch = spread.sample(&mut random) / 0.125_f64.exp();
        arrivals.push(Arrival {
            at_s,
            model: names[order[rank]].clone(),
            class: PriorityClass::ALL[class],
            prompt_tokens: (mix[class].2 * stretch).max(8.0) as u32,
            output_tokens: (mix[class].1 * stretch).max(4.0) as u32,
        });
    }
}

fn shuffled(random: &mut StdRng) -> Vec<usize> {
    let mut order: Vec<_> = (0..ADAPTERS).collect();
    for index in (1..order.len()).rev() {
        order.swap(index, random.random_range(0..=index));
    }
    order
}
