/**
 * The cloud as a machine provider. It checks no fencing tokens and may execute a request late. That is harmless because
 * an intent is stored before each request, see docs/safety.md.
 */
import type {
  DeleteResult,
  MachineProvider,
  Permit,
  RentAction,
  RentResult,
} from '@millring/duties';
import type { Cloud } from '../autoscaler/cloud.js';

/** Provider that ignores permits, since the cloud can't check them. */
export class CloudProvider implements MachineProvider {
  constructor(private readonly cloud: Cloud) {}

  tryAcquireCall(): boolean {
    return this.cloud.tryAcquireCall();
  }

  async rent(_permit: Permit, requestId: string, action: RentAction): Promise<RentResult> {
    const { type, zone, spot, count } = action;
    const result = await this.cloud.requestMachines(requestId, type, zone, spot, count);
    switch (result.kind) {
      case 'granted':
        return { kind: 'rented', machines: result.ids };
      case 'no-capacity':
        return result;
      case 'indeterminate':
      case 'rejected':
        return { kind: 'unavailable' };
    }
  }

  async delete(_permit: Permit, machines: readonly string[]): Promise<DeleteResult> {
    return { kind: (await this.cloud.deleteMachines([...machines])) ? 'deleted' : 'unavailable' };
  }
}
