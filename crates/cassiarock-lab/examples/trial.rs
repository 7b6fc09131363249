use cassiarock_lab::{Scenario, simulate};
use cassiarock_transient::scheduler::Mechanisms;
fn main() {
    let n: usize = std::env::var("SEEDS").ok().and_then(|v| v.parse().ok()).unwrap_or(99);
    let (mut w, mut t, mut c) = (0.0, 0.0, 0.0);
    for name in std::env::args().skip(1) {
        let mut s = Scenario::load(format!("settings/lab/{name}.jsonc")).unwrap();
        s.seeds.truncate(n);
        let r = simulate(&s, Mechanisms::default());
        let k = r.seeds.len() as f64;
        let ta: f64 = r.seeds.iter().map(|s| s.turned_away).sum::<f64>() / k;
        let fr: f64 = r.seeds.iter().map(|s| s.frames_per_task).sum::<f64>() / k;
        let be: f64 = r.seeds.iter().map(|s| s.heartbeats_per_task).sum::<f64>() / k;
        let kinds: Vec<String> = r.totals_by_kind().iter().map(|k| format!("{:.3}", k.in_time_share())).collect();
        println!("{name:<16} worth {:.4} intime {:.4} unserved {:.4} thrown {:.3} full {ta:.3} frames {fr:.2} beats {be:.2} [{}] {}", r.worth, r.in_time, r.unserved, r.wasted_work, kinds.join(" "), if r.violations.is_empty() {""} else {"BROKEN"});
        w += r.worth; t += r.in_time; c += 1.0;
    }
    println!("mean worth {:.4} intime {:.4}", w / c, t / c);
}
