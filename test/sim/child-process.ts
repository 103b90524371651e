/** Processes that tests start. */
import type { ChildProcess } from 'node:child_process';

/** Ends a process without a signal that it could answer, and waits until it is gone. */
export async function killAndWait(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exit = new Promise((done) => child.once('exit', done));
  child.kill('SIGKILL');
  await exit;
}
