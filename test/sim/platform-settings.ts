/** The settings file of a controller process in tests, as the platform would write it. */

/** The addresses at which users and workers (`address`) and other controllers (`peerAddress`) reach a controller. */
export interface ControllerAddresses {
  name: string;
  zone: string;
  address: string;
  peerAddress: string;
}

/** The values that differ between the settings files of tests. */
export interface TestSettings {
  self: ControllerAddresses;
  /** The other controllers, with the addresses at which this one reaches them. */
  others: ControllerAddresses[];
  stateAddress: string;
  cloudAddress: string;
  teams: { name: string; cpus: number; cpusMax: number }[];
  reportS: number;
  leaseS: number;
  cancelS: number;
  gangWaitS: number;
  gangPeerS: number;
  listLagS: number;
}

/** Returns the text of the settings file, in TOML. */
export function settingsToml(settings: TestSettings): string {
  const { self, others, teams } = settings;
  const other = ({ name, zone, peerAddress }: ControllerAddresses): string =>
    `[[others]]\nnode_name = "${name}"\nlocation = "${zone}"\npeer_addr = "${peerAddress}"`;
  const team = ({ name, cpus, cpusMax }: TestSettings['teams'][number]): string =>
    `[[params.teams]]\nname = "${name}"\ncpus = ${cpus}\ncpus_max = ${cpusMax}\ngpus = 0\ngpus_max = 0`;
  return `node_name = "${self.name}"
location = "${self.zone}"
listen = "${self.address}"
peer_bind = "${self.peerAddress}"
${others.map(other).join('\n')}
[outside]
state = "${settings.stateAddress}"
cloud = "${settings.cloudAddress}"
[params]
nodes = ${others.length + 1}
${teams.map(team).join('\n')}
[params.workers]
report_s = ${settings.reportS}
lease_s = ${settings.leaseS}
cancel_s = ${settings.cancelS}
gang_wait_s = ${settings.gangWaitS}
gang_peer_s = ${settings.gangPeerS}
[params.state]
rps = 400
write_rps = 100
value_kb = 4
txn_ops = 12
[params.cloud]
rps = 20
list_lag_s = ${settings.listLagS}
[params.machine_limits]
sockets = 1000
`;
}
