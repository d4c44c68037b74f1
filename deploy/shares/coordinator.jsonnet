// One coordinator alone, to start from: `lynxtally-coordinator deploy/shares/coordinator.jsonnet`. Three of them are in
// coordinators.libsonnet; each has a file that names its number. The keys, and the folders, keep the names that they
// had when coordinators were called keepers.
{
  id: 1,
  keepers: ['127.0.0.1:7601'],
  folder: 'state/keeper-1',
}
