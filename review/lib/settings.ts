/** The settings file of a controller, with the values of a site, but the times of the stand-ins' gangs. */

import { GANG_PEER_MS, GANG_WAIT_MS } from '../../test/sim/gang-coordinator.js';

/** A controller and its addresses. */
export interface ControllerPlace {
  name: string;
  zone: string;
  address: string;
  peerAddress: string;
}

/** What differs between the settings files. */
export interface CaseSettings {
  self: ControllerPlace;
  /** The other controllers, with the peer addresses at which this one reaches them. */
  others: ControllerPlace[];
  stateAddress: string;
  cloudAddress: string;
  zones: string[];
  teams: string[];
  site: Site;
}

/** The values of a site's file in the kit that a settings file repeats. */
export interface Site {
  reportS: number;
  leaseS: number;
  cancelS: number;
  stateRps: number;
  stateWriteRps: number;
  valueKb: number;
  txnOps: number;
  cloudRps: number;
  listLagS: number;
  sockets: number;
  memoryMb: number;
  cpu: number;
  cpusMax: number;
}

export const SHIFA_COLLECT: Site = {
  reportS: 1.5,
  leaseS: 12,
  cancelS: 32,
  stateRps: 100,
  stateWriteRps: 20,
  valueKb: 4,
  txnOps: 12,
  cloudRps: 5,
  listLagS: 3,
  sockets: 1000,
  memoryMb: 178,
  cpu: 0.34,
  cpusMax: 120,
};

/** The teams' limit is that of `marka-rapor` on the small day. */
export const ANKETSIS_PAZAR: Site = {
  reportS: 4,
  leaseS: 20,
  cancelS: 50,
  stateRps: 200,
  stateWriteRps: 80,
  valueKb: 8,
  txnOps: 32,
  cloudRps: 3,
  listLagS: 12,
  sockets: 1500,
  memoryMb: 178,
  cpu: 0.17,
  cpusMax: 176,
};

function teamText(name: string, cpusMax: number): string {
  return `[[params.teams]]
name = "${name}"
cpus = 40.0
cpus_max = ${cpusMax.toFixed(1)}
gpus = 0.0
gpus_max = 0.0
`;
}

/** Returns the text of a settings file, as the platform would write it. */
export function settingsText(settings: CaseSettings): string {
  const { self, others, zones, teams, site } = settings;
  const other = ({ name, zone, peerAddress }: ControllerPlace): string =>
    `[[others]]\nnode_name = "${name}"\nlocation = "${zone}"\npeer_addr = "${peerAddress}"\n`;
  return `node_name = "${self.name}"
location = "${self.zone}"
listen = "${self.address}"
peer_bind = "${self.peerAddress}"

${others.map(other).join('\n')}
[outside]
cloud = "${settings.cloudAddress}"
state = "${settings.stateAddress}"

[params]
nodes = ${others.length + 1}
zones = [${zones.map((zone) => `"${zone}"`).join(', ')}]
skew_ms = 25.0

${teams.map((team) => teamText(team, site.cpusMax)).join('\n')}
[params.workers]
report_s = ${site.reportS}
lease_s = ${site.leaseS.toFixed(1)}
gang_wait_s = ${GANG_WAIT_MS / 1000}
gang_peer_s = ${GANG_PEER_MS / 1000}
cancel_s = ${site.cancelS.toFixed(1)}

[params.state]
rps = ${site.stateRps.toFixed(1)}
write_rps = ${site.stateWriteRps.toFixed(1)}
value_kb = ${site.valueKb.toFixed(1)}
txn_ops = ${site.txnOps}

[params.cloud]
rps = ${site.cloudRps.toFixed(1)}
list_lag_s = ${site.listLagS.toFixed(1)}

[params.machine_limits]
cpu = ${site.cpu}
mem_mb = ${site.memoryMb.toFixed(1)}
sockets = ${site.sockets}
`;
}
