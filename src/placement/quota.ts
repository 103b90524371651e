/** What each team uses, against its guarantee and its limit. */
import type { Team } from '../settings/platform.js';
import type { JobSpec } from '../wire/model.js';

/** What each team may have on machines, everything counted that may still be there. */
export class TeamUsage {
  private readonly index = new Map<string, number>();
  private readonly cpus: Float64Array;
  private readonly gpus: Float64Array;

  constructor(private readonly teams: Team[]) {
    teams.forEach((t, i) => this.index.set(t.name, i));
    this.cpus = new Float64Array(teams.length);
    this.gpus = new Float64Array(teams.length);
  }

  private add(spec: JobSpec, sign: number): void {
    const i = this.index.get(spec.team);
    if (i === undefined) return;
    this.cpus[i] += sign * spec.cpus;
    this.gpus[i] += sign * spec.gpus;
  }

  hold(spec: JobSpec): void {
    this.add(spec, 1);
  }
  release(spec: JobSpec): void {
    this.add(spec, -1);
  }

  /** `keep…`: room under the limits that this start must leave. A team no longer in the settings has none. */
  allows(spec: JobSpec, keepCpus = 0, keepGpus = 0): boolean {
    const i = this.index.get(spec.team);
    if (i === undefined) return false;
    const t = this.teams[i];
    return (
      this.cpus[i] + spec.cpus + keepCpus <= t.cpusMax + 1e-6 &&
      this.gpus[i] + spec.gpus + keepGpus <= t.gpusMax + 1e-6
    );
  }

  team(name: string): Team | undefined {
    const i = this.index.get(name);
    return i === undefined ? undefined : this.teams[i];
  }

  usedCpus(name: string): number {
    return this.cpus[this.index.get(name) ?? -1] ?? 0;
  }

  /** Beyond its guarantee: what it borrows can be taken back. */
  borrows(name: string): boolean {
    const t = this.team(name);
    return t !== undefined && this.usedCpus(name) > t.cpus;
  }
}
