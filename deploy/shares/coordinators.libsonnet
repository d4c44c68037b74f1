// Three coordinators: any two of them go on without the third.
function(id) {
  id: id,
  keepers: ['127.0.0.1:7601', '127.0.0.1:7602', '127.0.0.1:7603'],
  folder: 'state/keeper-%d' % id,
  // A leader that is silent for longer is replaced.
  election_ms: 1000,
  // How often budgets are divided anew.
  tick_ms: 250,
  // A snapshot is made, and the log shortened, after this many entries.
  entries: 20000,
}
