/** The controller's program as builds that differ in the levels that they declare. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { bundleController } from './controller-program.js';

const DECLARED = 'export const BUILD: Build =';

/** `old` has the base level only, `new` one level more, `latest` two. */
export type BuildName = 'old' | 'new' | 'latest';

/** What the builds declare of themselves, whatever this program declares. */
const DECLARATIONS: Record<BuildName, string> = {
  old: "{ version: '0.0.9', reads: { from: 1, to: 1 }, writes: 1 }",
  new: '{ version: manifest.version, reads: { from: 1, to: 2 }, writes: 2 }',
  latest: '{ version: manifest.version, reads: { from: 1, to: 3 }, writes: 3 }',
};

/** The program as a single file that declares the levels of the named build. */
async function bundleBuild(name: BuildName, directory: string): Promise<string> {
  const outfile = join(directory, `${name}.cjs`);
  const source = readFileSync('src/build.ts', 'utf8');
  assert.ok(source.includes(DECLARED));
  const declared = `${DECLARED} ${DECLARATIONS[name]};\nconst _REPLACED: Build =`;
  await bundleController(outfile, [
    {
      name: 'build',
      setup: (setup) => {
        setup.onLoad({ filter: /src[/\\]build\.ts$/ }, () => ({
          contents: source.replace(DECLARED, declared),
          loader: 'ts',
        }));
      },
    },
  ]);
  return outfile;
}

/** The paths of all builds, as files in the directory. */
export async function bundleBuilds(directory: string): Promise<Map<BuildName, string>> {
  const bundles = new Map<BuildName, string>();
  for (const name of ['old', 'new', 'latest'] as const)
    bundles.set(name, await bundleBuild(name, directory));
  return bundles;
}
