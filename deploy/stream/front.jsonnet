// Streams between clients and one's own upstreams, behind the decision module.
// `lynxtally settings check deploy/stream/front.jsonnet` says whether it can be used.
local seconds = 1000;

{
  listen: ['127.0.0.1:8480'],
  upstreams: ['127.0.0.1:9001', '127.0.0.1:9002'],
  stages: [
    // A tractor's hour-meter log: it may be sent again, as the upstream files it under its name.
    { name: 'log', methods: ['PUT'], paths: ['/logs/'], utility: 4, due_ms: 60 * seconds, limit_ms: 600 * seconds, effect: 'restartable', body_mb: 512 },
    // A booking with its papers: known by its mark, done once.
    { name: 'booking', methods: ['POST'], paths: ['/bookings'], utility: 8, due_ms: 20 * seconds, limit_ms: 60 * seconds, effect: 'fingerprinted', body_mb: 64 },
    { name: 'history', methods: ['GET', 'HEAD'], utility: 1, due_ms: 120 * seconds, limit_ms: 900 * seconds, effect: 'restartable' },
    { name: 'other', utility: 1, due_ms: 60 * seconds, limit_ms: 300 * seconds, effect: 'side-effecting' },
  ],
  limits: { memory_mb: 64, connections: 2000, link_mbit: 0 },
  coding: { takes: ['gzip'], code_from_kb: 4 },
  stop_ms: 20 * seconds,
  grace_ms: 2500,
}
