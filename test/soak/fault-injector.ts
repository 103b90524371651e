/** Injects the faults of a schedule into the processes, the links and the simulated services. */
import { setTimeout as delay } from 'node:timers/promises';
import type { SeededRandom } from '../sim/random.js';
import { HEARTBEAT_PATH } from '../sim/wire/workers.js';
import type { Fault } from './fault-schedule.js';
import { CONTROLLER_NAMES, type SoakDeployment } from './soak-deployment.js';

type FaultOf<Kind extends Fault['kind']> = Extract<Fault, { kind: Kind }>;
type LinkFault = FaultOf<
  | 'cut-heartbeats'
  | 'cut-commands'
  | 'cut-machines'
  | 'block-connections'
  | 'hold-messages'
  | 'cut-peers'
>;
type ProcessFault = FaultOf<'kill' | 'kill-leader' | 'pause'>;
type MachineFault = FaultOf<'hang-machines' | 'take-machines'>;
type ServiceFault = FaultOf<'refuse-state' | 'state-outage' | 'late-writes'>;
type MessageFault = FaultOf<'late-starts' | 'duplicate-heartbeats' | 'slow-network'>;
type HostFilter = (host: string) => boolean;

/** Injects faults. The machines that a fault affects are drawn from the given random numbers. */
export class FaultInjector {
  constructor(
    private readonly deployment: SoakDeployment,
    private readonly random: SeededRandom,
    /** Maximum delay of duplicate heartbeats, in milliseconds. */
    private readonly duplicatesUpToMs: number,
  ) {}

  async inject(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'kill':
      case 'kill-leader':
      case 'pause':
        return this.injectProcessFault(fault);
      case 'hang-machines':
      case 'take-machines':
        this.injectMachineFault(fault);
        return;
      case 'refuse-state':
      case 'state-outage':
      case 'late-writes':
        this.injectServiceFault(fault);
        return;
      case 'late-starts':
      case 'duplicate-heartbeats':
      case 'slow-network':
        this.injectMessageFault(fault);
        return;
      default:
        this.injectLinkFault(fault);
    }
  }

  private get services(): SoakDeployment['services'] {
    return this.deployment.services;
  }

  private controllerNameOf(controller: number | 'leader'): string {
    return controller === 'leader'
      ? (this.services.leader() ?? CONTROLLER_NAMES[0])
      : CONTROLLER_NAMES[controller];
  }

  private async injectProcessFault(fault: ProcessFault): Promise<void> {
    if (fault.kind === 'kill')
      return this.deployment.kill(CONTROLLER_NAMES[fault.controller], fault.downMs);
    if (fault.kind === 'pause') {
      this.deployment.pause(this.controllerNameOf(fault.controller), fault.forMs);
      return;
    }
    for (let i = 0; i < fault.times; i++) {
      await this.deployment.kill(this.controllerNameOf('leader'), fault.downMs);
      await delay(fault.everyMs);
    }
  }

  private readonly isController: HostFilter = (host) =>
    CONTROLLER_NAMES.some((name) => this.deployment.addressOf(name) === host);

  private readonly isMachine: HostFilter = (host) => this.services.isMachine(host);

  private pickMachines(share: number): HostFilter {
    const hosts = [...this.services.network.hosts.keys()].filter(this.isMachine);
    const chosen = new Set(hosts.filter(() => this.random.chance(share)));
    return (host) => chosen.has(host);
  }

  private injectLinkFault(fault: LinkFault): void {
    const { network, clock } = this.services;
    const until = clock.time + fault.forMs;
    const anyHost: HostFilter = () => true;
    if (fault.kind === 'cut-peers') {
      this.deployment.interruptPeerLinks(
        this.controllerNameOf(fault.controller),
        fault.mode,
        fault.forMs,
      );
    } else if (fault.kind === 'cut-heartbeats' || fault.kind === 'cut-commands') {
      const address = this.deployment.addressOf(this.controllerNameOf(fault.controller));
      const isThisController: HostFilter = (host) => host === address;
      const sides =
        fault.kind === 'cut-heartbeats'
          ? { a: this.isMachine, b: isThisController }
          : { a: isThisController, b: this.isMachine };
      network.partitions.push({ ...sides, until, mode: fault.mode, oneWay: true });
    } else if (fault.kind === 'cut-machines') {
      network.partitions.push({
        a: this.pickMachines(fault.share),
        b: anyHost,
        until,
        mode: fault.mode,
      });
    } else if (fault.kind === 'block-connections') {
      const machines = this.pickMachines(fault.share);
      network.partitions.push({
        a: machines,
        b: this.isController,
        until,
        mode: 'reset',
        requestsOnly: true,
      });
    } else {
      network.partitions.push({
        a: anyHost,
        b: this.pickMachines(fault.share),
        until,
        mode: 'hold',
        oneWay: true,
      });
    }
  }

  private injectMachineFault(fault: MachineFault): void {
    const { network, cloud, clock } = this.services;
    if (fault.kind === 'hang-machines') {
      const chosen = this.pickMachines(fault.share);
      for (const [name, host] of network.hosts)
        if (chosen(name)) host.hangsUntil = clock.time + fault.forMs;
      return;
    }
    for (const machine of [...cloud.machines.values()])
      if (machine.spot && machine.worker && this.random.chance(fault.share)) cloud.preempt(machine);
  }

  private injectServiceFault(fault: ServiceFault): void {
    const { state, clock } = this.services;
    if (fault.kind === 'state-outage') state.beginOutage(fault.forMs);
    else if (fault.kind === 'late-writes')
      state.lateWrites = { share: fault.share, until: clock.time + fault.forMs };
    else
      state.rejectHost(
        this.deployment.addressOf(this.controllerNameOf(fault.controller)),
        fault.forMs,
      );
  }

  private injectMessageFault(fault: MessageFault): void {
    const { network, clock } = this.services;
    if (fault.kind === 'late-starts') {
      this.services.lateStarts = { byMs: fault.byMs, until: clock.time + fault.forMs };
    } else if (fault.kind === 'duplicate-heartbeats') {
      const to = (): string => this.deployment.addressOf(this.controllerNameOf('leader'));
      network.duplicates = {
        path: HEARTBEAT_PATH,
        chance: fault.chance,
        upToMs: this.duplicatesUpToMs,
        to,
      };
      clock.after(fault.forMs, () => (network.duplicates = null));
    } else {
      network.delayFactor = fault.factor;
      clock.after(fault.forMs, () => (network.delayFactor = 1));
    }
  }
}
