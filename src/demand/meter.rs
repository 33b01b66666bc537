//! Measures the demand of the callers of one instance.

use indexmap::IndexMap;

use super::report::{DemandReport, TENTHS_PER_UNIT};
use crate::ids::ServiceName;

/// Time over which rates are measured.
pub(super) const WINDOW_MS: u64 = 2_000;
/// Resolution of the window, equal to the interval of heartbeats.
pub(super) const SLOT_MS: u64 = 250;
/// Complete slots in the window.
const WINDOW_SLOTS: usize = (WINDOW_MS / SLOT_MS) as usize;
/// The window and the current, incomplete slot.
const SLOTS: usize = WINDOW_SLOTS + 1;

/// What was recorded within one slot.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    streams: u64,
    prompt_tokens: u64,
    unserved: u64,
    rejected: u64,
}

/// Records of the newest slots.
#[derive(Clone, Debug, Default)]
struct Window {
    /// The slot numbered `n` is at index `n % SLOTS`. Slots older than the window are zero.
    slots: [Slot; SLOTS],
    /// Number of the current slot.
    current: u64,
}

impl Window {
    /// Moves on to the slot of `now_ms`. A time before the current slot counts as part of it.
    fn advance(&mut self, now_ms: u64) {
        let number = now_ms / SLOT_MS;
        let passed = number.saturating_sub(self.current).min(SLOTS as u64);
        self.current = self.current.max(number);
        for back in 0..passed {
            self.slots[Self::index(self.current - back)] = Slot::default();
        }
    }

    fn index(number: u64) -> usize {
        (number % SLOTS as u64) as usize
    }

    fn current_slot(&mut self, now_ms: u64) -> &mut Slot {
        self.advance(now_ms);
        &mut self.slots[Self::index(self.current)]
    }

    /// Sum over the complete slots. The current one would lower the rate by the part that is still to come.
    fn total(&self) -> Slot {
        let current = Self::index(self.current);
        let complete = self.slots.iter().enumerate();
        let complete = complete.filter(|(index, _)| *index != current);
        complete.fold(Slot::default(), |sum, (_, slot)| Slot {
            streams: sum.streams + slot.streams,
            prompt_tokens: sum.prompt_tokens.saturating_add(slot.prompt_tokens),
            unserved: sum.unserved + slot.unserved,
            rejected: sum.rejected + slot.rejected,
        })
    }

    fn is_empty(&self) -> bool {
        self.slots
            .iter()
            .all(|slot| slot.streams == 0 && slot.unserved == 0 && slot.rejected == 0)
    }
}

/// Demand of one instance's callers over the last two seconds. Has an entry for each service and priority that
/// was recorded within this time, and for no others.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    windows: IndexMap<(ServiceName, u32), Window>,
}

impl DemandMeter {
    /// Records a stream that a caller has sent.
    pub(crate) fn record_arrival(
        &mut self,
        service: &ServiceName,
        priority: u32,
        prompt_tokens: u64,
        now_ms: u64,
    ) {
        let slot = self.window(service, priority).current_slot(now_ms);
        slot.streams += 1;
        slot.prompt_tokens = slot.prompt_tokens.saturating_add(prompt_tokens);
    }

    /// Records that a stream, whose arrival was recorded before, ended without having been served.
    pub(crate) fn record_unserved(&mut self, service: &ServiceName, priority: u32, now_ms: u64) {
        self.window(service, priority).current_slot(now_ms).unserved += 1;
    }

    /// Records that an engine rejected a stream for lack of capacity.
    pub(crate) fn record_rejected(&mut self, service: &ServiceName, priority: u32, now_ms: u64) {
        self.window(service, priority).current_slot(now_ms).rejected += 1;
    }

    /// Rates over the window up to the end of the last complete slot; entries that are all zero are left out.
    pub(crate) fn reports(&mut self, now_ms: u64) -> Vec<DemandReport> {
        self.windows.retain(|_, window| {
            window.advance(now_ms);
            !window.is_empty()
        });
        let reports = self.windows.iter().map(|((service, priority), window)| {
            let total = window.total();
            DemandReport {
                service: service.clone(),
                priority: *priority,
                streams_per_s: clamped(tenths_per_s(total.streams)),
                prompt_tokens_per_s: tenths_per_s(total.prompt_tokens),
                unserved_per_s: clamped(tenths_per_s(total.unserved)),
                rejected_per_s: clamped(tenths_per_s(total.rejected)),
            }
        });
        reports.filter(|report| !report.is_zero()).collect()
    }

    fn window(&mut self, service: &ServiceName, priority: u32) -> &mut Window {
        self.windows.entry((service.clone(), priority)).or_default()
    }
}

/// Converts a count over the window into a rate.
fn tenths_per_s(count: u64) -> u64 {
    count.saturating_mul(TENTHS_PER_UNIT * 1_000) / WINDOW_MS
}

fn clamped(rate: u64) -> u32 {
    u32::try_from(rate).unwrap_or(u32::MAX)
}
