// One keeper alone, to start from: `lynxtally-coordinator deploy/shares/keeper.jsonnet`. Three of them are in
// keepers.libsonnet; each has a file that names its number.
{
  id: 1,
  keepers: ['127.0.0.1:7601'],
  folder: 'state/keeper-1',
}
