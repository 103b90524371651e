/** Bundles of the controller's program as builds that declare different feature levels. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { bundleController } from './controller-program.js';

const DECLARED = 'export const BUILD: Build =';

/** `old` supports only feature level 1, the base level; `new` supports levels 1 and 2; `latest` supports 1 to 3. */
export type BuildName = 'old' | 'new' | 'latest';

/** The declaration of each build, which replaces this program's own declaration. */
const DECLARATIONS: Record<BuildName, string> = {
  old: "{ version: '0.0.9', reads: { from: 1, to: 1 }, writes: 1 }",
  new: '{ version: manifest.version, reads: { from: 1, to: 2 }, writes: 2 }',
  latest: '{ version: manifest.version, reads: { from: 1, to: 3 }, writes: 3 }',
};

/** Bundles the program into a single file that declares the levels of the named build. Returns the file's path. */
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

/** Bundles all builds into files in the directory. Returns the path of each. */
export async function bundleBuilds(directory: string): Promise<Map<BuildName, string>> {
  const bundles = new Map<BuildName, string>();
  for (const name of ['old', 'new', 'latest'] as const)
    bundles.set(name, await bundleBuild(name, directory));
  return bundles;
}
