// The module against all baselines: from light load to twice what the cores can do, calm and through each fault.
{
  name: 'overload',
  nodes: [10, 50],
  loads: [0.7, 1.0, 1.6, 2.0],
  seeds: [1, 2, 3, 4],
  policies: ['module', 'pool', 'cap', 'aimd', 'gradient', 'age', 'split-0.5', 'early'],
  lasts_s: 12,
  warm_up_s: 3,
  stages: [
    { name: 'track', utility: 1, due_ms: 250, limit_ms: 1000, share: 0.7, work_ms: 10, spread: 'lognormal' },
    { name: 'book', utility: 6, due_ms: 600, limit_ms: 2000, share: 0.25, work_ms: 20, effect: 'side-effecting' },
    { name: 'report', utility: 2, late_part: 0.3, due_ms: 1500, limit_ms: 4000, share: 0.05, work_ms: 120, spread: 'pareto' },
  ],
  scripts: [
    { name: 'crash', steps: [{ at_s: 5, part: 0.3, what: 'crash' }, { at_s: 8, part: 0.3, what: 'restart' }] },
    { name: 'slow', steps: [{ at_s: 5, part: 0.3, what: 'slow', value: 0.3 }, { at_s: 8, part: 0.3, what: 'slow', value: 1 }] },
    { name: 'leave', steps: [{ at_s: 5, part: 0.3, what: 'leave', value: 3 }, { at_s: 8, part: 0.3, what: 'restart' }] },
    { name: 'deaf', steps: [{ at_s: 5, part: 0.3, what: 'deaf' }, { at_s: 8, part: 0.3, what: 'mended' }] },
  ],
}
