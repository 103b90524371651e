/** A short run of the soak test. `npm run soak` runs any number of seeds. */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';

const SOAK = 'target/test/soak/soak.js';

interface Outcome {
  code: number;
  stdout: string;
  stderr: string;
}

function soak(...args: string[]): Promise<Outcome> {
  return new Promise((done) => {
    execFile(
      process.execPath,
      [SOAK, ...args],
      { maxBuffer: 64 * 1024 * 1024 },
      (error, stdout, stderr) => {
        done({ code: error ? Number(error.code) : 0, stdout, stderr });
      },
    );
  });
}

test('real controllers under overlapping faults violate no invariant', async () => {
  const { code, stdout } = await soak('--seeds', '1-2');
  assert.equal(code, 0, stdout);
  assert.match(stdout, /soak: 2 passed, 0 failed\n$/);
});

test('invalid arguments lead to exit code 2 and one line on stderr', async () => {
  for (const args of [
    [],
    ['--seeds'],
    ['--seeds', '5-1'],
    ['--seeds', 'x'],
    ['--seeds', '1', '--jobs', '0'],
    ['--loud'],
  ]) {
    const { code, stdout, stderr } = await soak(...args);
    assert.deepEqual([code, stdout, stderr.split('\n').length], [2, '', 2], args.join(' '));
  }
});
