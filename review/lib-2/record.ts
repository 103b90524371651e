/** The record of a run: what was sent, answered and run, with the time since the start in seconds. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Collects lines and writes them to `record.txt` in the folder of the case. */
export class Record {
  private readonly lines: string[] = [];
  private readonly startedAt = performance.now();

  constructor(private readonly folder: string) {}

  add(line: string): void {
    const seconds = (performance.now() - this.startedAt) / 1000;
    this.lines.push(`${seconds.toFixed(1).padStart(6)} ${line}`);
  }

  write(): void {
    writeFileSync(join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
  }
}
