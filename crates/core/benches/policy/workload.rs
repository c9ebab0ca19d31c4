//! Workloads and faults.
//!
//! A workload has the class mix of one site; adapter popularity follows a Zipf distribution, and token counts are
//! log-normal.

use crate::model::EngineModel;
use hoplanding_core::ids::{AdapterVersion, PriorityClass};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

/// Number of adapters of a site.
const ADAPTER_COUNT: usize = 3000;
/// Load at peak, as a share of the throughput of all engines.
const PEAK_LOAD: f64 = 0.85;
/// Period with arrivals, in seconds.
pub const ARRIVALS_S: f64 = 300.0;
/// Time before the measurement starts, in seconds.
pub const WARM_UP_S: f64 = 90.0;
/// Time of a popularity shift, a zone loss or the start of a slow-store period, in seconds.
pub const FAULT_AT_S: f64 = 180.0;

/// Workload profile.
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

    /// Numbers of availability zones and engines.
    pub fn sizes(self) -> (usize, usize) {
        match self {
            Self::Kettleby => (3, 12),
            Self::Kilindini => (4, 12),
        }
    }

    /// Share, mean output tokens and mean prompt tokens of each class, from urgent to batch.
    fn mix(self) -> [(f64, f64, f64); 3] {
        match self {
            // Half of the requests are batch work with long answers.
            Self::Kettleby => [
                (0.15, 150.0, 300.0),
                (0.35, 60.0, 150.0),
                (0.5, 600.0, 800.0),
            ],
            // Mostly interactive work, with a larger urgent share.
            Self::Kilindini => [
                (0.25, 120.0, 250.0),
                (0.55, 250.0, 300.0),
                (0.2, 700.0, 800.0),
            ],
        }
    }
}

/// Fault or change of load during a run.
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

/// An arriving request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_s: f64,
    pub model: AdapterVersion,
    pub class: PriorityClass,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// Generates all requests of a run, in order of arrival.
pub fn arrivals(site: Site, fault: Fault, model: &EngineModel, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mix = site.mix();
    let mean_tokens: f64 = mix.iter().map(|(share, tokens, _)| share * tokens).sum();
    let (_, engines) = site.sizes();
    let load = if fault == Fault::Overload {
        2.0
    } else {
        PEAK_LOAD
    };
    let rate = engines as f64 * model.full_speed() * load / mean_tokens;
    let gaps = Exp::new(rate).expect("the rate is positive");
    let ranks = Zipf::new(ADAPTER_COUNT as f64, 1.4).expect("the skew is positive");
    let spread = LogNormal::new(0.0, 0.5).expect("the spread is finite");
    let names: Vec<_> = (0..ADAPTER_COUNT)
        .map(|number| AdapterVersion::new(&format!("adapter-{number:04}"), "v1"))
        .collect();
    let popularity_before = shuffled(&mut random);
    let popularity_after = shuffled(&mut random);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += gaps.sample(&mut random);
        if at_s > ARRIVALS_S {
            return arrivals;
        }
        let rank = ranks.sample(&mut random) as usize - 1;
        let order = if fault == Fault::Shift && at_s >= FAULT_AT_S {
            &popularity_after
        } else {
            &popularity_before
        };
        let sample: f64 = random.random();
        let class = match sample {
            sample if sample < mix[0].0 => 0,
            sample if sample < mix[0].0 + mix[1].0 => 1,
            _ => 2,
        };
        // A log-normal distribution with sigma 0.5 has a mean of exp(0.125); the division normalises it to 1.
        let size_factor = spread.sample(&mut random) / 0.125_f64.exp();
        arrivals.push(Arrival {
            at_s,
            model: names[order[rank]].clone(),
            class: PriorityClass::ALL[class],
            prompt_tokens: (mix[class].2 * size_factor).max(8.0) as u32,
            output_tokens: (mix[class].1 * size_factor).max(4.0) as u32,
        });
    }
}

fn shuffled(random: &mut StdRng) -> Vec<usize> {
    let mut order: Vec<_> = (0..ADAPTER_COUNT).collect();
    for index in (1..order.len()).rev() {
        order.swap(index, random.random_range(0..=index));
    }
    order
}
