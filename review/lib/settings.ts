/** The settings file of a controller, with the values of the site shifa-collect, but the times of the stand-ins' gangs. */

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
}

export const REPORT_S = 1.5;
export const LEASE_S = 12;
export const CANCEL_S = 32;
export const TEAM_CPUS_MAX = 120;

function teamText(name: string): string {
  return `[[params.teams]]
name = "${name}"
cpus = 40.0
cpus_max = ${TEAM_CPUS_MAX.toFixed(1)}
gpus = 0.0
gpus_max = 0.0
`;
}

/** Returns the text of a settings file, as the platform would write it. */
export function settingsText(settings: CaseSettings): string {
  const { self, others, zones, teams } = settings;
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

${teams.map(teamText).join('\n')}
[params.workers]
report_s = ${REPORT_S}
lease_s = ${LEASE_S.toFixed(1)}
gang_wait_s = ${GANG_WAIT_MS / 1000}
gang_peer_s = ${GANG_PEER_MS / 1000}
cancel_s = ${CANCEL_S.toFixed(1)}

[params.state]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12

[params.cloud]
rps = 5.0
list_lag_s = 3.0

[params.machine_limits]
cpu = 0.34
mem_mb = 178.0
sockets = 1000
`;
}
