/** Helpers for child processes of tests. */
import type { ChildProcess } from 'node:child_process';

/** Kills a process with SIGKILL, which it can't handle, and waits until it has exited. */
export async function killAndWait(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exit = new Promise((done) => child.once('exit', done));
  child.kill('SIGKILL');
  await exit;
}
