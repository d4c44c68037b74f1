// Where the module loses most: the fleet, stages and policies that `lynxtally lab search` climbs over.
(import 'overload.jsonnet') + {
  name: 'search',
  nodes: [10],
  loads: [0.5, 2.5],
  seeds: [1, 2],
  policies: ['module', 'pool', 'aimd', 'age', 'early'],
  lasts_s: 10,
  warm_up_s: 2,
}
