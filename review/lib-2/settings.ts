/** The settings file of a controller, as the page DEPLOY shows it. */

/** A controller and the addresses at which others reach it. */
export interface ControllerPlace {
  name: string;
  zone: string;
  address: string;
  peerAddress: string;
}

/** What differs between the cases. Times are in seconds. */
export interface Site {
  team: string;
  /** Guaranteed CPUs of the team, and the most that it may use; 0 for none. */
  cpus: number;
  cpusMax: number;
  reportS: number;
  leaseS: number;
  cancelS: number;
  listLagS: number;
  stateRps: number;
  stateWriteRps: number;
  valueKb: number;
  txnOps: number;
  sockets: number;
}

/** The numbers of `sites/anketsis-prod.toml`, with one team. */
export const ANKETSIS: Site = {
  team: 'platform-nobet-00',
  cpus: 0,
  cpusMax: 0,
  reportS: 3,
  leaseS: 22,
  cancelS: 42,
  listLagS: 10,
  stateRps: 250,
  stateWriteRps: 30,
  valueKb: 8,
  txnOps: 24,
  sockets: 1500,
};

/** The numbers of `sites/shifa-collect.toml`, with one team. */
export const SHIFA: Site = {
  team: 'ops-dukaan-00',
  cpus: 40,
  cpusMax: 120,
  reportS: 1.5,
  leaseS: 12,
  cancelS: 32,
  listLagS: 3,
  stateRps: 100,
  stateWriteRps: 20,
  valueKb: 4,
  txnOps: 12,
  sockets: 1000,
};

/** Returns the table `params` of the page, which is the same for all controllers. */
function paramsText(site: Site, nodes: number): string {
  return `[params]
nodes = ${nodes}
zones = ["a", "b"]
skew_ms = 5.0

[[params.teams]]
name = "${site.team}"
cpus = ${site.cpus}
cpus_max = ${site.cpusMax}
gpus = 0.0
gpus_max = 0.0

[params.workers]
report_s = ${site.reportS}
lease_s = ${site.leaseS}
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = ${site.cancelS}

[params.state]
rps = ${site.stateRps}
write_rps = ${site.stateWriteRps}
value_kb = ${site.valueKb}
txn_ops = ${site.txnOps}

[params.cloud]
rps = 5.0
list_lag_s = ${site.listLagS}

[params.machine_limits]
cpu = 0.51
mem_mb = 242.0
sockets = ${site.sockets}
`;
}

/** Returns the settings of one controller in TOML. `others` are listed with the addresses at which it reaches them. */
export function settingsText(
  site: Site,
  self: ControllerPlace,
  others: readonly ControllerPlace[],
  outside: { cloud: string; state: string },
): string {
  const peers = others.map(
    (other) =>
      `[[others]]\nnode_name = "${other.name}"\nlocation = "${other.zone}"\npeer_addr = "${other.peerAddress}"\n`,
  );
  return `node_name = "${self.name}"
location = "${self.zone}"
listen = "${self.address}"
peer_bind = "${self.peerAddress}"

${peers.join('\n')}
[outside]
cloud = "${outside.cloud}"
state = "${outside.state}"

${paramsText(site, others.length + 1)}`;
}
