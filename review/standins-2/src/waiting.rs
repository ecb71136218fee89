//! Checks that no job is left waiting for 90 s while a machine that fits has room.

use crate::cluster::{Cluster, Submission};
use crate::util::sleep;

/// For how long no job may be left waiting beside room, in seconds.
const MAX_WAIT_S: f64 = 90.0;

/// Waits until each of these jobs of one task like `spec` has a machine, and returns what is wrong: jobs
/// that have waited for too long, during which a machine had room for one more such task all the time.
pub fn check(cluster: &Cluster, ids: &[String], spec: &Submission) -> Vec<String> {
    let began = cluster.world.record.now();
    let note = |line: &str| cluster.world.record.note(line);
    let mut since: Option<f64> = None;
    let mut next_note = 0.0;
    loop {
        let now = cluster.world.record.now();
        let waiting: Vec<&String> = ids.iter().filter(|id| !cluster.was_placed(id)).collect();
        if waiting.is_empty() || now > began + MAX_WAIT_S + 8.0 {
            return vec![];
        }
        let machines = cluster.cloud.machines();
        let has_room = |(cores, mem): (f64, f64)| cores >= spec.cores && mem >= spec.mem_gb;
        let room = machines.iter().any(|m| m.is_up() && has_room(m.free()));
        since = if room { since.or(Some(now)) } else { None };
        if now >= next_note {
            next_note = now + 10.0;
            note(&format!("{} of {} jobs have had no machine", waiting.len(), ids.len()));
            for m in &machines {
                let (cores, mem) = m.free();
                note(&format!("{}: {cores:.1} cores and {mem:.1} GB are free", m.name));
            }
            cluster.poll(0, waiting[0]);
        }
        if let Some(waited) = since.map(|from| now - from).filter(|waited| *waited > MAX_WAIT_S) {
            let left = |id: &&String| format!("left waiting: {id} for {waited:.0} s beside a machine with room");
            return waiting.iter().map(left).collect();
        }
        sleep(0.05);
    }
}
