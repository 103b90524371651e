/** Seeded random runs of whole clusters; the rules of PROTOCOL are checked after each step. */
import { test } from 'node:test';
import { type Cluster, zoneOf } from './sim/cluster.js';
import { expectKept, play } from './sim/play.js';
import { copiesTo, leaderOr } from './sim/scenarios.js';

test('a quiet day', async () => {
  expectKept(await play({ seed: 1 }, () => undefined));
});

test('a quiet day where money counts', async () => {
  expectKept(await play({ seed: 2, saveMoney: true, ordinaryUp: 0 }, () => undefined));
});

for (const seed of [11, 12, 13])
  test(`controllers crash, one or all, some back within a fraction of a second (${seed})`, async () => {
    const o = await play({ seed }, (c, s) => {
      if (s % 9 === 3) c.crash(leaderOr(c), c.random.pick([150, 3000]));
      if (s === 40) for (const n of c.names) c.crash(n, c.random.between(100, 4000));
    });
    expectKept(o);
  });

for (const seed of [21, 22, 23])
  test(`state service down or refusing one node (${seed})`, async () => {
    const o = await play({ seed }, (c, s) => {
      if (s === 10) c.state.outage(5000);
      if (s === 25) c.state.refuse(`${c.leader() ?? 'n0'}:80`, 12_000);
      if (s === 45) c.state.outage(10_000);
    });
    expectKept(o);
  });

for (const seed of [31, 32, 33, 34])
  test(`cuts: controllers, machines, with held or reset connections (${seed})`, async () => {
    const o = await play({ seed }, (c, s) => {
      const until = c.clock.time + c.random.between(3000, 20_000);
      const mode = c.random.pick(['hold', 'reset'] as const);
      if (s % 12 === 4) {
        const node = `${c.leader() ?? 'n1'}:80`;
        const from = c.random.pick(['w-', 'state', '']);
        c.net.cuts.push({ a: (h) => h === node, b: (h) => h.startsWith(from), until, mode });
      }
      if (s % 8 === 6) {
        const m = c.random.pick([...c.cloud.machines.values()]);
        c.net.cuts.push({ a: (h) => h === `w-${m.id}:9000`, b: () => true, until, mode });
      }
    });
    expectKept(o);
  });

for (const seed of [41, 42, 43])
  test(`machines die, hang, are taken, fail tasks, are slow (${seed})`, async () => {
    const o = await play({ seed, saveMoney: seed === 42 }, (c, s) => {
      const m = c.random.pick([...c.cloud.machines.values()]);
      if (!m?.worker) return;
      if (s % 7 === 2) c.cloud.take(m);
      if (s % 7 === 4)
        c.net.hosts.get(`w-${m.id}:9000`)!.hangsUntil =
          c.clock.time + c.random.between(2000, 12_000);
      if (s % 10 === 5 && m.spot) {
        m.worker.noticeUntil = c.clock.time + 6000;
        c.clock.after(6000, () => {
          c.cloud.take(m);
        });
      }
      if (s === 20) c.faultyNext = true;
      if (s === 30) c.slowNext = 4;
    });
    expectKept(o);
  });

/** Which hosts are in a zone: its controllers and its machines. */
function inZone(c: Cluster, zone: string): (host: string) => boolean {
  return (h) => {
    if (c.names.some((n) => h === `${n}:80`)) return zoneOf(h.split(':')[0]) === zone;
    const m = /^w-(i-\d+):/.exec(h);
    return m !== null && c.cloud.machines.get(m[1])?.zone === zone;
  };
}

for (const seed of [61, 62, 63])
  test(`two zones apart for longer than a worker lease, twice (${seed})`, async () => {
    const o = await play({ seed, ordinaryUp: 8 }, (c, s) => {
      if (s === 15 || s === 40)
        c.net.cuts.push({
          a: inZone(c, 'a'),
          b: inZone(c, 'b'),
          until: c.clock.time + (s === 15 ? 9500 : 25_000),
          mode: c.random.pick(['hold', 'reset']),
        });
    });
    expectKept(o);
  });

for (const seed of [71, 72, 73])
  test(`five controllers, and machines that are heard but hear nothing (${seed})`, async () => {
    const o = await play({ seed, nodes: 5 }, (c, s) => {
      if (s % 15 === 5) {
        const m = c.random.pick([...c.cloud.machines.values()]);
        c.net.cuts.push({
          a: () => true,
          b: (h) => h === `w-${m.id}:9000`,
          until: c.clock.time + c.random.between(5000, 40_000),
          mode: c.random.pick(['hold', 'reset']),
          oneWay: true,
        });
      }
      if (s === 30) c.crash(c.leader()!, c.random.pick([200, 3000]));
    });
    expectKept(o);
  });

for (const seed of [81, 82, 83])
  test(`late copies of reports, to whichever controller, while leaders change (${seed})`, async () => {
    const o = await play({ seed }, (c, s) => {
      copiesTo(c, 0.15);
      if (s % 14 === 9) c.crash(leaderOr(c), c.random.pick([150, 3000]));
      if (s % 11 === 7) {
        const m = c.random.pick([...c.cloud.machines.values()]);
        if (m?.worker) c.cloud.take(m);
      }
    });
    o.cluster.net.copies = null;
    expectKept(o);
  });

for (const seed of [91, 92, 93])
  test(`a controller loses the state service and the others, but keeps its workers (${seed})`, async () => {
    const o = await play({ seed, nodes: 5 }, (c, s) => {
      if (s % 20 !== 8) return;
      const node = `${s < 40 ? (c.leader() ?? 'n0') : c.random.pick(c.names)}:80`;
      c.net.cuts.push({
        a: (h) => h === node,
        b: (h) => h === 'state:1' || c.names.some((n) => h === `${n}:80`),
        until: c.clock.time + c.random.between(4000, 30_000),
        mode: c.random.pick(['hold', 'reset']),
      });
    });
    expectKept(o);
  });

for (const seed of [101, 102])
  test(`a zone cut from everything, peers that refuse each other, two of five crash (${seed})`, async () => {
    const o = await play({ seed, nodes: 5, ordinaryUp: 8 }, (c, s) => {
      const until = c.clock.time + c.random.between(8000, 25_000);
      const mode = c.random.pick(['hold', 'reset'] as const);
      const isNode = (h: string): boolean => c.names.some((n) => h === `${n}:80`);
      const inside = inZone(c, c.random.pick(['a', 'b']));
      if (s === 8) c.net.cuts.push({ a: isNode, b: isNode, until, mode: 'reset' });
      if (s === 25) c.net.cuts.push({ a: inside, b: (h) => !inside(h), until, mode });
      if (s === 50)
        for (const n of [c.leader() ?? 'n0', 'n4']) c.crash(n, c.random.pick([200, 3000]));
    });
    expectKept(o);
  });

/** Crashes, outages, refusals, cuts, hangs and losses on top of each other. */
function chaos(c: Cluster, s: number): void {
  const random = c.random;
  const until = c.clock.time + random.between(1000, 15_000);
  if (random.chance(0.06)) c.crash(random.pick(c.names), random.pick([100, 3000]));
  if (random.chance(0.03)) c.state.outage(random.between(1000, 8000));
  if (random.chance(0.03)) c.cloud.downUntil = until;
  if (random.chance(0.1)) {
    const hosts = [...c.net.hosts.keys()];
    const h = random.pick(hosts);
    const other = random.pick(hosts);
    const all = random.chance(0.5);
    c.net.cuts.push({
      a: (x) => x === h,
      b: (x) => all || x === other,
      until,
      mode: random.pick(['hold', 'reset']),
    });
  }
  const m = random.pick([...c.cloud.machines.values()]);
  if (m?.worker && random.chance(0.08)) c.cloud.take(m);
  if (m?.worker && random.chance(0.08)) c.net.hosts.get(`w-${m.id}:9000`)!.hangsUntil = until;
  if (s % 20 === 0) c.state.refuse(`${random.pick(c.names)}:80`, random.between(2000, 8000));
}

// 1138, 1175 and 1215 once broke a quota: see `unconfirmedUsage`.
for (const seed of [1000, 1068, 1089, 1138, 1144, 1175, 1200, 1215, 1232])
  test(`everything at once (${seed})`, async () => {
    const config = {
      seed,
      teamLimit: seed % 2 ? 20 : 40,
      capacity: 2 + (seed % 3),
      saveMoney: seed % 4 === 0,
    };
    expectKept(await play(config, chaos), false);
  });
