// A names server for one fleet: a zone file under the operators' hand, names registered by the nodes themselves.
// `lynxtally settings check deploy/names/fleet.jsonnet` says whether it can be used.
local apex = 'fleet.example.org.';

{
  listen: ['127.0.0.1:5300'],
  state: 'state/names',
  keys: ['state/keys/nodes.key'],
  zones: [
    {
      apex: apex,
      file: 'deploy/names/fleet.zone',
      refused_most: 10,
      // Nodes register their own addresses below the apex, held for as long as they renew them.
      updates: [{ key: 'nodes.' + apex, below: apex, kinds: ['A', 'AAAA', 'SRV', 'TXT'] }],
      transfer: { keys: ['nodes.' + apex] },
    },
  ],
  limits: { memory_mb: 64, connections: 500, log_mb: 64 },
  stop_ms: 5000,
  grace_ms: 2500,
}
